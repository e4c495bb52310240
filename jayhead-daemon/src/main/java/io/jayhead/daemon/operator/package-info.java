/** The operators' HTTP interface. */
package io.jayhead.daemon.operator;
