package io.jayhead.admission;

import io.jayhead.model.BudgetId;
import io.jayhead.model.VmName;

/** Represents an event that {@link AdmissionController} handles. */
public sealed interface AdmissionEvent {

    /**
     * Returns the time of the event.
     *
     * @return the time in milliseconds
     */
    long nowMs();

    /** Signals that a request arrived and waits for admission. */
    record RequestArrived(AdmissionRequest request, long nowMs) implements AdmissionEvent {}

    /**
     * Signals that the ledger was written: tokens were granted, and the upper bound of the tokens that this router may
     * lend was set.
     */
    record GrantReceived(BudgetId budget, long tokens, long lendingLimitTokens, long nowMs) implements AdmissionEvent {}

    /**
     * Signals that the ledger refused a grant: its unallocated tokens do not cover the requested minimum, or it
     * refuses grants for the entry of this router, which was reclaimed.
     */
    record GrantRefused(BudgetId budget, long unallocatedTokens, long nowMs) implements AdmissionEvent {}

    /**
     * Signals that a grant request was neither granted nor refused: the platform is down, did not answer or refused
     * the write, or every attempt conflicted with another writer.
     */
    record GrantUnavailable(BudgetId budget, long nowMs) implements AdmissionEvent {}

    /** Signals that a peer lent tokens. */
    record LoanReceived(BudgetId budget, String transferId, long tokens, long nowMs) implements AdmissionEvent {}

    /** Signals that no peer lent tokens. */
    record LoanRefused(BudgetId budget, long nowMs) implements AdmissionEvent {}

    /** Signals that the model engine counted fewer prompt tokens than were reserved; the difference is refunded. */
    record PromptCounted(String id, long promptTokensRefund, long nowMs) implements AdmissionEvent {}

    /** Signals that a request ended, with the tokens that it consumed. */
    record RequestSettled(String id, long consumedTokens, long nowMs) implements AdmissionEvent {}

    /** Signals that a started request ended without running, so that it consumed nothing. */
    record RequestReleased(String id, long nowMs) implements AdmissionEvent {}

    /** Signals that a peer requests a loan. */
    record LoanRequested(VmName peer, BudgetId budget, String transferId, long tokens, long nowMs)
            implements AdmissionEvent {}

    /** Signals that time passed; expires waiting requests and overdue token requests, and returns surplus tokens. */
    record Tick(long nowMs) implements AdmissionEvent {}

    /** Signals that the configuration became current or stale. */
    record FreshnessChanged(boolean fresh, long nowMs) implements AdmissionEvent {}

    /** Signals that the router shuts down; it refuses new requests and still starts the waiting ones. */
    record DrainStarted(long nowMs) implements AdmissionEvent {}

    /** Signals that the maximum number of requests in flight at this router changed. */
    record MaxInFlightChanged(int maxInFlight, long nowMs) implements AdmissionEvent {}

    /**
     * Signals that this router's entry in the ledger of a budget was reclaimed, or is being reclaimed, by another
     * router.
     */
    record GrantReclaimed(BudgetId budget, long nowMs) implements AdmissionEvent {}
}
