package io.jayhead.admission;

import io.jayhead.admission.budget.ReservationFault;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.VmName;

/** A command that admission asks the router to execute. */
public sealed interface AdmissionCommand {

    /** Starts a request. */
    record Start(String id) implements AdmissionCommand {}

    /** Refuses a request that was not started. */
    record Refuse(String id, ErrorCode code, String message) implements AdmissionCommand {}

    /**
     * Asks the ledger for a grant; answered by exactly one of GrantReceived, GrantRefused and GrantUnavailable.
     *
     * @param budget the budget
     * @param minimumTokens the tokens that the next waiting request lacks
     * @param tokens the tokens wanted, to be limited by the unallocated rest
     * @param lendingLimitTokens the bound of lent tokens to write with the grant
     */
    record AskPlatform(BudgetId budget, long minimumTokens, long tokens, long lendingLimitTokens)
            implements AdmissionCommand {}

    /**
     * Asks peers for a loan, one peer after the other, because only the first loan with the transfer id is accepted.
     *
     * @param budget the budget
     * @param tokens the tokens
     * @param transferId the id of the transfer
     */
    record AskPeers(BudgetId budget, long tokens, String transferId) implements AdmissionCommand {}

    /** Sends a loan that was deducted. */
    record Lend(VmName peer, BudgetId budget, String transferId, long tokens) implements AdmissionCommand {}

    /** Tells a peer that it gets no loan. */
    record DeclineLoan(VmName peer, BudgetId budget, String transferId) implements AdmissionCommand {}

    /** Returns tokens that were deducted. */
    record ReturnTokens(BudgetId budget, long tokens) implements AdmissionCommand {}

    /** Reports a settlement that does not fit its reservation; the whole reservation counts as consumed. */
    record ReportFault(String id, ReservationFault fault) implements AdmissionCommand {}
}
