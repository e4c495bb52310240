/** Counters and histograms. */
package io.jayhead.gateway.metrics;
