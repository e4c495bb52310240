package io.jayhead.admission;

import io.jayhead.admission.budget.ReservationFault;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.VmName;

/** Represents a command that {@link AdmissionController} returns for the router to execute. */
public sealed interface AdmissionCommand {

    /** Starts a request, whose tokens are already reserved. */
    record Start(String id) implements AdmissionCommand {}

    /** Refuses a request that has not been started. */
    record Refuse(String id, ErrorCode code, String message) implements AdmissionCommand {}

    /**
     * Requests a grant from the ledger.
     *
     * <p>The router must answer with exactly one of {@link AdmissionEvent.GrantReceived},
     * {@link AdmissionEvent.GrantRefused} and {@link AdmissionEvent.GrantUnavailable}.
     *
     * @param budget the budget
     * @param minimumTokens the tokens that the first waiting request lacks; 0 if it lacks none, or if the grant is
     *     requested before it is needed
     * @param tokens the requested tokens; the ledger may grant fewer if few are unallocated
     * @param lendingLimitTokens the upper bound of lent tokens to write with the grant
     */
    record RequestGrant(BudgetId budget, long minimumTokens, long tokens, long lendingLimitTokens)
            implements AdmissionCommand {}

    /**
     * Requests a loan from the peers, one peer at a time, because only the first loan with the transfer id is accepted.
     *
     * @param budget the budget
     * @param tokens the requested tokens
     * @param transferId identifies the loan; a repeated transfer with this id is ignored
     */
    record RequestLoan(BudgetId budget, long tokens, String transferId) implements AdmissionCommand {}

    /** Sends a loan to a peer; its tokens have already been deducted here. */
    record Lend(VmName peer, BudgetId budget, String transferId, long tokens) implements AdmissionCommand {}

    /** Refuses the loan that a peer requested. */
    record DeclineLoan(VmName peer, BudgetId budget, String transferId) implements AdmissionCommand {}

    /** Returns granted tokens to the ledger; they have already been deducted here. */
    record ReturnTokens(BudgetId budget, long tokens) implements AdmissionCommand {}

    /**
     * Reports a refund or settlement that does not match the reservation of its request. If the settled amount is
     * invalid, the whole reservation counts as consumed.
     */
    record ReportFault(String id, ReservationFault fault) implements AdmissionCommand {}
}
