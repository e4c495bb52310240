/** Configuration, membership and the freshness of both. */
package io.jayhead.daemon.fleet;
