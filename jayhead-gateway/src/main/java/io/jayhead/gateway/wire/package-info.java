/** Models the values of HTTP headers, independent of the names and formats that a deployment uses for them. */
package io.jayhead.gateway.wire;
