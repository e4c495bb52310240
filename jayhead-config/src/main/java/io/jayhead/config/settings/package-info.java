/** Settings of one router daemon, their parsing and validation. */
package io.jayhead.config.settings;
