/** The upstreams that the platform lists, told apart by incarnation. */
package io.jayhead.routing.registry;
