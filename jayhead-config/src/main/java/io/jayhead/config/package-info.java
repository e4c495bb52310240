/** Parsing and validation of the YAML texts that configure fleets and routers. */
package io.jayhead.config;
