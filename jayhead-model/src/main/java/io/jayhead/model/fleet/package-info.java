/** Specification of a fleet, parsed from the fleet text of the operators and validated. */
package io.jayhead.model.fleet;
