/** YAML trees whose values keep their line and path for problem messages. */
package io.jayhead.config.yaml;
