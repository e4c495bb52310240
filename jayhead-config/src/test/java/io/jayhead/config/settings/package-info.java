/** Tests of the settings parser. */
package io.jayhead.config.settings;
