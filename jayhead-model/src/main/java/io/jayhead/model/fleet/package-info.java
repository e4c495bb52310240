/** Specification of a fleet: the parsed and validated text of the operators. */
package io.jayhead.model.fleet;
