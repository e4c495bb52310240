/** Admission and the ledgers of budgets. */
package io.jayhead.daemon.budget;
