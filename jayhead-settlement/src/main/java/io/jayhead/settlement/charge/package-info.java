/** Charge log: group commit, recovery, duplicate detection and checkpoints of one partition. */
package io.jayhead.settlement.charge;
