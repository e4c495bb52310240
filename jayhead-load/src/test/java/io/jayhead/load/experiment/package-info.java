/** Tests the fleets of experiments. */
package io.jayhead.load.experiment;
