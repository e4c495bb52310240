/** Checks budgets, bills and bookings after a run. */
package io.jayhead.load.audit;
