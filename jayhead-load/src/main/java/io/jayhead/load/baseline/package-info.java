/** Compares budget policies by simulation, without processes. */
package io.jayhead.load.baseline;
