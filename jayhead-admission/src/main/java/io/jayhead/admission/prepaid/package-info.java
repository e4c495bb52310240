/**
 * Prepaid budgets that many routers share through conditional updates of ledger pages.
 *
 * <p>A page records how many tokens each router has taken from each budget. An entry is changed only by the router that
 * it names, so a router may spend the tokens of its own entry, no matter which router wrote the page last.
 */
package io.jayhead.admission.prepaid;
