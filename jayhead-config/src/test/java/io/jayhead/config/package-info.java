/** Test support for the parsers of fleet texts and settings. */
package io.jayhead.config;
