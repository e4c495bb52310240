/** Handles a request from its arrival to its settlement: admission, reservation, attempts at upstreams and answer. */
package io.jayhead.gateway.exchange;
