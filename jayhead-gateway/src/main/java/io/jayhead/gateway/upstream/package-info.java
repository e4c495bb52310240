/** Manages the connections to upstreams and estimates their load and health from requests, answers and failures. */
package io.jayhead.gateway.upstream;
