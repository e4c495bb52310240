/** Admission of requests and access to the budget ledgers in the platform. */
package io.jayhead.daemon.budget;
