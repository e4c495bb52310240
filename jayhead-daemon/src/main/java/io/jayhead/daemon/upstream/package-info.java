/** Calls upstreams, polls their load reports and chooses between them. */
package io.jayhead.daemon.upstream;
