/** Scenario tests that run the daemon and the stand-ins as processes. */
package io.jayhead.scenarios;
