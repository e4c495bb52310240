/** Commits charges to the partitioned charge log, groups them across routers, and holds them during outages. */
package io.jayhead.daemon.charge;
