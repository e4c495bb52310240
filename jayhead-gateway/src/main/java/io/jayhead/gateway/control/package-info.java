/** The control thread: configuration, registry and ledger pages from the platform. */
package io.jayhead.gateway.control;
