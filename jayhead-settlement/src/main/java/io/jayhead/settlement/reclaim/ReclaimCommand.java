package io.jayhead.settlement.reclaim;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.List;

/** Represents a step that the state machine of a reclaim requests. */
public sealed interface ReclaimCommand {

    /** Marks the ledger entry as being reclaimed, by a conditional update. */
    record MarkEntry(String nonce) implements ReclaimCommand {}

    /** Raises the fencing token of the holder at an upstream. */
    record RaiseFence(UpstreamName upstream, IncarnationId holder, long fencingToken) implements ReclaimCommand {}

    /** Commits the charges of the requests that the upstreams cancelled. */
    record ChargeCancelledRequests(List<ChargeEntry> entries) implements ReclaimCommand {}

    /** Asks all routers to commit the charges of the holder that they have pending or hold because of an outage. */
    record CommitPendingCharges(IncarnationId incarnation) implements ReclaimCommand {}

    /** Totals the charges of the holder in all partitions of the charge log. */
    record CountCharges(IncarnationId incarnation) implements ReclaimCommand {}

    /** Closes the entry by a conditional update, if it is still marked with the nonce of this reclaim. */
    record CloseEntry(String nonce, long chargedTokens) implements ReclaimCommand {}

    /** Ends the reclaim without closing the entry; the uncharged part of the grant stays counted as spent. */
    record WriteOff(String reason) implements ReclaimCommand {}
}
