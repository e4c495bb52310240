/** Tables of the measured figures and their slopes. */
package io.jayhead.bench.report;
