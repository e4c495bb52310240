/** Execution of scenarios. */
package io.jayhead.scenarios.run;
