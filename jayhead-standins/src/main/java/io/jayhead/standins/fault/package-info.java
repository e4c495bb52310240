/** Faults that tests inject into a running stand-in. */
package io.jayhead.standins.fault;
