/** Chooses upstreams for requests; pure decision logic without I/O or clocks. */
package io.jayhead.routing;
