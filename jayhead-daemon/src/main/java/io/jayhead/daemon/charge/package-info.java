/** Charges: partition writers, group commit across routers and held charges. */
package io.jayhead.daemon.charge;
