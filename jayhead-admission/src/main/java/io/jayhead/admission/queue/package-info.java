/** Bounded fair queue of waiting requests. */
package io.jayhead.admission.queue;
