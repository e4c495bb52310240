/** Decisions on the attempts of a request whose body and answer are opaque. */
package io.jayhead.dispatch.forward;
