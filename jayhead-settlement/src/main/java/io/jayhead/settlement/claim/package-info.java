/** Booking claims: at most one dispatch for a request key. */
package io.jayhead.settlement.claim;
