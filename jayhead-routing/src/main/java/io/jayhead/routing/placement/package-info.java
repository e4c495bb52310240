/** Choice of the upstream for one request. */
package io.jayhead.routing.placement;
