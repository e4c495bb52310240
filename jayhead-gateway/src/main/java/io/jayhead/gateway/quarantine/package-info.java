/** Finds the parts of prompts under which upstreams end, from the attempts of this router. */
package io.jayhead.gateway.quarantine;
