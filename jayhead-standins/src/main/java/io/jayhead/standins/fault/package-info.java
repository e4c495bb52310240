/** Faults that tests order from a running stand-in. */
package io.jayhead.standins.fault;
