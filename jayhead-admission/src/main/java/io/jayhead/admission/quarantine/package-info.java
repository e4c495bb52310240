/** Decides which parts of prompts are no longer sent to upstreams, because upstreams ended under them. */
package io.jayhead.admission.quarantine;
