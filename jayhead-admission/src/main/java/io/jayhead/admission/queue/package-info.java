/** Queues waiting requests in a bounded queue that is fair between organisations. */
package io.jayhead.admission.queue;
