/** Fleet text: parsing, validation and differences. */
package io.jayhead.config.fleet;
