/** Tests of the command line tool jayheadctl. */
package io.jayhead.ctl;
