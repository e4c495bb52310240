/** Computes counts, percentiles and fairness from the outcomes of a run. */
package io.jayhead.load.measure;
