/** Measures processor time, allocation, retained memory and encoded size. */
package io.jayhead.bench.measure;
