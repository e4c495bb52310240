/** Fleets of local processes that a mix is run against. */
package io.jayhead.load.experiment;
