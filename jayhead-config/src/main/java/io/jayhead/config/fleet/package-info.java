/** Parsing, validation and comparison of fleet texts. */
package io.jayhead.config.fleet;
