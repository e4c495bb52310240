/** Tests of the parsing and comparison of fleet texts. */
package io.jayhead.config.fleet;
