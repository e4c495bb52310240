/** Reserves prepaid tokens for the requests of this router and lends tokens to other routers. */
package io.jayhead.gateway.budget;
