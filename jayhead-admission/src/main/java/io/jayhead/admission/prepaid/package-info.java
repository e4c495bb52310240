/**
 * Prepaid budgets that many routers draw from by conditional updates of shared pages.
 *
 * <p>A page records how many tokens each router has taken from each budget. Only the router that is named by an entry
 * changes it, so a router owns what its own entry says, whoever wrote the page last.
 */
package io.jayhead.admission.prepaid;
