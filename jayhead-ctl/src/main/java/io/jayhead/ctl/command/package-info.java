/** Commands of operators. */
package io.jayhead.ctl.command;
