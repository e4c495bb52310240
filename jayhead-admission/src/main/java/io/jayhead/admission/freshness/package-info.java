/** Freshness of the configuration of a router. */
package io.jayhead.admission.freshness;
