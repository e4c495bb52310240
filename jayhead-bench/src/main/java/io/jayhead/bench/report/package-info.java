/** Renders tables of the measured values and their slopes. */
package io.jayhead.bench.report;
