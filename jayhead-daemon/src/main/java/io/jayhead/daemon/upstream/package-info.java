/** Upstreams: calls, load reports and routing. */
package io.jayhead.daemon.upstream;
