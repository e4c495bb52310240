/** The command line of operators. */
package io.jayhead.ctl;
