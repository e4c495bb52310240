/** Execution of scenarios: processes, requests and checks. */
package io.jayhead.scenarios.run;
