/** Value types that the other modules share: identifiers, verdicts, error codes and request kinds. */
package io.jayhead.model;
