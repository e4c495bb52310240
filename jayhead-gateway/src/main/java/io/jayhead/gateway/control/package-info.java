/** Reads configuration, upstream registry and ledger pages from the platform on the control thread. */
package io.jayhead.gateway.control;
