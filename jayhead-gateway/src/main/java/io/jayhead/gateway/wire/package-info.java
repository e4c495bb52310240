/** The facts that headers carry, independent of their names on the wire. */
package io.jayhead.gateway.wire;
