/** Runs the scenario files and tests the scenario language, the process control and the relays. */
package io.jayhead.scenarios;
