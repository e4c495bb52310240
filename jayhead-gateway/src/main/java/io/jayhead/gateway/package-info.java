/** Assembles the router that forwards requests without interpreting their bodies. */
package io.jayhead.gateway;
