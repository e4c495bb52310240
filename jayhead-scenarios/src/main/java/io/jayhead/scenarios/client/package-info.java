/** Clients of a scenario: callers, operators and observers of stand-ins. */
package io.jayhead.scenarios.client;
