/** Shared value types: identifiers, verdicts, errors, request kinds and the fleet specification. */
package io.jayhead.model;
