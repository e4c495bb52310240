/** Runs the scenario files and tests their language and process control. */
package io.jayhead.scenarios;
