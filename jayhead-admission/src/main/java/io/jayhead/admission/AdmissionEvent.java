package io.jayhead.admission;

import io.jayhead.model.BudgetId;
import io.jayhead.model.VmName;

/** An event that admission reacts to. */
public sealed interface AdmissionEvent {

    /**
     * Returns the time of the event.
     *
     * @return milliseconds
     */
    long nowMs();

    /** A request asks to be admitted. */
    record RequestArrived(AdmissionRequest request, long nowMs) implements AdmissionEvent {}

    /** The ledger was written: tokens were added and the lending limit set. */
    record GrantReceived(BudgetId budget, long tokens, long lendingLimitTokens, long nowMs) implements AdmissionEvent {}

    /** The unallocated tokens do not cover the minimum that was asked for. */
    record GrantRefused(BudgetId budget, long unallocatedTokens, long nowMs) implements AdmissionEvent {}

    /** The platform did not answer. */
    record GrantUnavailable(BudgetId budget, long nowMs) implements AdmissionEvent {}

    /** A peer lent tokens. */
    record LoanReceived(BudgetId budget, String transferId, long tokens, long nowMs) implements AdmissionEvent {}

    /** No peer lent tokens. */
    record LoanRefused(BudgetId budget, long nowMs) implements AdmissionEvent {}

    /** The engine reported the prompt tokens, fewer than reserved. */
    record PromptCounted(String id, long promptTokensRefund, long nowMs) implements AdmissionEvent {}

    /** A request ended and consumed tokens. */
    record RequestSettled(String id, long consumedTokens, long nowMs) implements AdmissionEvent {}

    /** A request ended without running. */
    record RequestReleased(String id, long nowMs) implements AdmissionEvent {}

    /** A peer asks for a loan. */
    record LoanAsked(VmName peer, BudgetId budget, String transferId, long tokens, long nowMs)
            implements AdmissionEvent {}

    /** Time passed. */
    record Tick(long nowMs) implements AdmissionEvent {}

    /** The configuration became current or stale. */
    record FreshnessChanged(boolean fresh, long nowMs) implements AdmissionEvent {}

    /** The router shuts down. */
    record DrainStarted(long nowMs) implements AdmissionEvent {}

    /** The number of requests that this router may run at a time changed. */
    record CapacityChanged(int maxInFlight, long nowMs) implements AdmissionEvent {}

    /** The entry of this router in a ledger was reclaimed. */
    record BudgetVoided(BudgetId budget, long nowMs) implements AdmissionEvent {}
}
