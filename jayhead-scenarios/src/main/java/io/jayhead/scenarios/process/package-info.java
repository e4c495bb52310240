/** Launch and control of the processes of a scenario. */
package io.jayhead.scenarios.process;
