/** HTTP server for callers, and the Jooby and Netty setup that the operators' server shares. */
package io.jayhead.edge;
