/** Decides on the attempts of requests whose body and answer the router passes on without interpreting them. */
package io.jayhead.dispatch.forward;
