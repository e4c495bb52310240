/** Chooses an upstream for a request from the load and the expected cache contents of the upstreams. */
package io.jayhead.routing.placement;
