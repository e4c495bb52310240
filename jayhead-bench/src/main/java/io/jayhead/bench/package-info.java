/** Measures how the cost of the control work grows with the size of the fleet. */
package io.jayhead.bench;
