/** The measured operations, each at several sizes. */
package io.jayhead.bench.cases;
