package io.jayhead.settlement.reclaim;

import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.List;

/** Reports something to the state machine of a reclaim. */
public sealed interface ReclaimEvent {

    /** The ledger entry is marked as being reclaimed. */
    record EntryMarked() implements ReclaimEvent {}

    /** The entry was not marked: it is closed, or another reclaim has it. */
    record MarkLost() implements ReclaimEvent {}

    /**
     * An upstream raised the fencing token.
     *
     * <p>If the reply to an earlier order was lost, the list must also contain what that order cancelled.
     *
     * @param upstream the upstream
     * @param cancelled the charges of the holder's requests that it cancelled
     */
    record FenceAcknowledged(UpstreamName upstream, List<ChargeEntry> cancelled) implements ReclaimEvent {

        /** Copies the list. */
        public FenceAcknowledged {
            cancelled = List.copyOf(cancelled);
        }
    }

    /** An upstream did not acknowledge. */
    record FenceFailed(UpstreamName upstream) implements ReclaimEvent {}

    /** All charges of cancelled requests are committed. */
    record CancelledCharged() implements ReclaimEvent {}

    /** All routers committed the holder's charges that they had pending or held. */
    record PendingCommitted() implements ReclaimEvent {}

    /** The holder's charges were summed up from the charge log. */
    record ChargesCounted(long tokens) implements ReclaimEvent {}

    /** A step could not be completed. */
    record StepFailed(String reason) implements ReclaimEvent {}

    /** The entry is closed. */
    record EntryClosed() implements ReclaimEvent {}

    /** The entry was not closed by this reclaim. */
    record CloseLost() implements ReclaimEvent {}
}
