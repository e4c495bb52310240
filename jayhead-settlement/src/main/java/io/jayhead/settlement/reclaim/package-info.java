/** Reclaim of the grant of a lost router incarnation. */
package io.jayhead.settlement.reclaim;
