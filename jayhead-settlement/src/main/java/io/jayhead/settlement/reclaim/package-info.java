/** Reclaim of the grants of lost router incarnations. */
package io.jayhead.settlement.reclaim;
