/** Defines the measured operations and states, each at several sizes. */
package io.jayhead.bench.cases;
