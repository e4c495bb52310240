/** Runs request mixes against fleets of local processes. */
package io.jayhead.load.experiment;
