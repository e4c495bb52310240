/** Stand-in of a booking service that repeats what it is asked to repeat. */
package io.jayhead.standins.booking;
