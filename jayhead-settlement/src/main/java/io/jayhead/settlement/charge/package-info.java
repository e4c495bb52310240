/** Charge log: group commit, recovery, duplicate detection and checkpoints of a partition. */
package io.jayhead.settlement.charge;
