/** Tracks the upstreams that the platform lists, distinguished by incarnation. */
package io.jayhead.routing.registry;
