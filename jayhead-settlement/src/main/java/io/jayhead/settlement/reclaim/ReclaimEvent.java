package io.jayhead.settlement.reclaim;

import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.List;

/** Represents an input of the state machine of a reclaim: the result of one of its steps. */
public sealed interface ReclaimEvent {

    /** The ledger entry was marked as being reclaimed. */
    record EntryMarked() implements ReclaimEvent {}

    /** The entry was not marked, because it is closed or marked by another reclaim. */
    record MarkConflict() implements ReclaimEvent {}

    /**
     * An upstream acknowledged the raised fencing token.
     *
     * <p>If the reply to an earlier fence call was lost, the list must also contain the charges of the requests that
     * the earlier call cancelled.
     *
     * @param upstream the upstream
     * @param cancelled the charges of the requests of the holder that the upstream cancelled
     */
    record FenceAcknowledged(UpstreamName upstream, List<ChargeEntry> cancelled) implements ReclaimEvent {

        /** Copies the list. */
        public FenceAcknowledged {
            cancelled = List.copyOf(cancelled);
        }
    }

    /** An upstream did not acknowledge the raised fencing token. */
    record FenceFailed(UpstreamName upstream) implements ReclaimEvent {}

    /** All charges of cancelled requests were committed. */
    record CancelledRequestsCharged() implements ReclaimEvent {}

    /** All routers committed the charges of the holder that they had pending or held. */
    record PendingChargesCommitted() implements ReclaimEvent {}

    /** The charges of the holder were totalled from the charge log. */
    record ChargesCounted(long tokens) implements ReclaimEvent {}

    /** The current step could not be completed, so the grant is written off. */
    record StepFailed(String reason) implements ReclaimEvent {}

    /** The entry was closed. */
    record EntryClosed() implements ReclaimEvent {}

    /** The entry was not closed, because another writer closed or changed it. */
    record CloseConflict() implements ReclaimEvent {}
}
