/** Immutable collections with cheap updates. */
package io.jayhead.admission.collection;
