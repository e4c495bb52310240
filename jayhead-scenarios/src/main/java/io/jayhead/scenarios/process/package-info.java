/** Processes of a scenario: start, signals, output. */
package io.jayhead.scenarios.process;
