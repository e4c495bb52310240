/** The command line tool jayheadctl, with which operators manage a fleet. */
package io.jayhead.ctl;
