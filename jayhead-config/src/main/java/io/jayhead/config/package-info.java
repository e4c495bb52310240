/** Fleet text and settings: YAML parsing and validation. */
package io.jayhead.config;
