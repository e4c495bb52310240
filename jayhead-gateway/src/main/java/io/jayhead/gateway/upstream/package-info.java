/** Manages the connections to upstreams and estimates load and health from their answers. */
package io.jayhead.gateway.upstream;
