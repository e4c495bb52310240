/** Connections to upstreams and what their answers tell of their load. */
package io.jayhead.gateway.upstream;
