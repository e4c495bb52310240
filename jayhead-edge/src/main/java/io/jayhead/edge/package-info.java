/** HTTP interface for callers and operators. */
package io.jayhead.edge;
