/** Stand-in for a booking service that executes repeated bookings again. */
package io.jayhead.standins.booking;
