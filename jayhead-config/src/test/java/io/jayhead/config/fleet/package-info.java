/** Tests of the configuration texts. */
package io.jayhead.config.fleet;
