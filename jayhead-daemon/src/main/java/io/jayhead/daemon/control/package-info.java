/** The control thread and its clock. */
package io.jayhead.daemon.control;
