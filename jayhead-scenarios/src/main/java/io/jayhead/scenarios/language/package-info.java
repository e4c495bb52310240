/** Parser of the scenario language: timed actions, faults and expectations. */
package io.jayhead.scenarios.language;
