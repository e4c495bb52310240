/** Seeded plan of the requests of a run. */
package io.jayhead.load.plan;
