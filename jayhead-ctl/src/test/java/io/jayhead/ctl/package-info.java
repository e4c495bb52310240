/** Tests of the command line of operators. */
package io.jayhead.ctl;
