/** Configuration of the fleet, membership of the routers, and the freshness of both. */
package io.jayhead.daemon.fleet;
