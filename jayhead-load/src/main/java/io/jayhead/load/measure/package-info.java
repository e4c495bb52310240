/** Figures computed from the outcomes of a run. */
package io.jayhead.load.measure;
