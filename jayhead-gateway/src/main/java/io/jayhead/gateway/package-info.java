/** Assembly of the router that forwards opaque requests. */
package io.jayhead.gateway;
