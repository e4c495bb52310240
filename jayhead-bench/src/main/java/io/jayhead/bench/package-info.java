/** Measures how the cost of control work in a router grows with the size of the fleet. */
package io.jayhead.bench;
