/** Booking claims, which ensure that a booking runs at most once for a request key. */
package io.jayhead.settlement.claim;
