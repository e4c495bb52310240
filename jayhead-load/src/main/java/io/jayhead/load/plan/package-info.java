/** Draws the requests of a run from a seed. */
package io.jayhead.load.plan;
