package io.jayhead.settlement.reclaim;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.List;

/** Orders a step of a reclaim. */
public sealed interface ReclaimCommand {

    /** Marks the ledger entry as being reclaimed by a conditional update. */
    record MarkEntry(String nonce) implements ReclaimCommand {}

    /** Raises the fencing token of the holder at an upstream. */
    record RaiseFence(UpstreamName upstream, IncarnationId holder, long number) implements ReclaimCommand {}

    /** Commits the charges of cancelled requests. */
    record ChargeCancelled(List<ChargeEntry> entries) implements ReclaimCommand {}

    /** Asks all routers to commit the holder's charges that they have pending or hold for an outage. */
    record CommitPending(IncarnationId incarnation) implements ReclaimCommand {}

    /** Sums up the holder's charges in all partitions of the charge log. */
    record CountCharges(IncarnationId incarnation) implements ReclaimCommand {}

    /** Closes the entry by a conditional update, if this reclaim still has it. */
    record CloseEntry(String nonce, long chargedTokens) implements ReclaimCommand {}

    /** Ends the reclaim; the open part of the grant stays counted as spent. */
    record LeaveWrittenOff(String reason) implements ReclaimCommand {}
}
