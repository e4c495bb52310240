/** Settings of one daemon: parsing and validation. */
package io.jayhead.config.settings;
