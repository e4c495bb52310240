/** YAML trees whose values know their line and path, so that messages about problems can name them. */
package io.jayhead.config.yaml;
