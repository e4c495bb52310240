/** The commands of jayheadctl. */
package io.jayhead.ctl.command;
