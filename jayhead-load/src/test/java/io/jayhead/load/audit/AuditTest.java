package io.jayhead.load.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.load.client.Outcome;
import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.client.Result;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.load.plan.RequestPlan;
import io.jayhead.model.RequestKind;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AuditTest {

    private final List<PlannedRequest> plan = RequestPlan.of(new PlanSettings(Mix.USER2, 20, 20, 1, 3, 0));
    private final PlannedRequest question = first(RequestKind.INTERACTIVE);
    private final PlannedRequest booking = first(RequestKind.BOOKING);

    private PlannedRequest first(RequestKind kind) {
        return plan.stream()
                .filter(request -> request.kind() == kind)
                .findFirst()
                .orElseThrow();
    }

    private static Result whole(PlannedRequest request, long tokens) {
        return new Result(request, new Outcome(OutcomeType.WHOLE, "", 0, 1, List.of(), tokens));
    }

    private static Result refused(PlannedRequest request, String code) {
        return new Result(request, Outcome.of(OutcomeType.REFUSED, code, 1));
    }

    private static Bill bill(PlannedRequest request, long tokens) {
        return new Bill(request.requestKey().value(), request.budget(), tokens);
    }

    private Map<Check, Long> auditBudget(Result result, long paidTokens, long consumedTokens) {
        BudgetState state = new BudgetState(question.budget(), paidTokens, consumedTokens);
        return Audit.of(List.of(result), new Evidence(Optional.of(List.of(state)), Optional.empty(), Optional.empty()));
    }

    /**
     * Guards against counting justified refusals as false and missing false ones: the worst case must fit the tokens
     * left.
     */
    @Test
    void aRefusalIsFalseIfTheRestCoversItsWorstCase() {
        long worstCaseTokens = question.worstCaseTokens();
        Result refusal = refused(question, "budget_exhausted");
        assertEquals(1, auditBudget(refusal, worstCaseTokens + 10, 10).get(Check.FALSE_REFUSALS));
        assertEquals(0, auditBudget(refusal, worstCaseTokens + 9, 10).get(Check.FALSE_REFUSALS));
        assertEquals(
                0,
                auditBudget(refused(question, "overloaded"), worstCaseTokens, 0).get(Check.FALSE_REFUSALS));
    }

    /** Guards against overspend that goes unnoticed because only the ledger or only the charge log shows it. */
    @Test
    void overspendIsFoundInLedgerAndCharges() {
        assertEquals(5, auditBudget(whole(question, 1), 10, 15).get(Check.OVERSPEND_TOKENS));
        BudgetState state = new BudgetState(question.budget(), 10, 0);
        Evidence evidence =
                new Evidence(Optional.of(List.of(state)), Optional.of(List.of(bill(question, 17))), Optional.empty());
        assertEquals(7, Audit.of(List.of(whole(question, 17)), evidence).get(Check.OVERSPEND_TOKENS));
    }

    /** Guards against an audit that misses bills that are repeated, missing or different from the answer. */
    @Test
    void eachAnswerHasOneBillOfItsTokens() {
        assertEquals(List.of(0L, 0L, 0L), auditBills(List.of(bill(question, 30))));
        assertEquals(List.of(1L, 0L, 0L), auditBills(List.of(bill(question, 30), bill(question, 30))));
        assertEquals(List.of(0L, 1L, 0L), auditBills(List.of()));
        assertEquals(List.of(0L, 0L, 1L), auditBills(List.of(bill(question, 31))));
    }

    private List<Long> auditBills(List<Bill> bills) {
        Map<Check, Long> counts = Audit.of(
                List.of(whole(question, 30)), new Evidence(Optional.empty(), Optional.of(bills), Optional.empty()));
        return List.of(
                counts.get(Check.DOUBLE_BILLS), counts.get(Check.MISSING_BILLS), counts.get(Check.DIFFERENT_BILLS));
    }

    /** Guards against an audit that misses bookings that ran twice, ran though refused, or never ran. */
    @Test
    void executionsAgreeWithWhatCallersWereTold() {
        assertEquals(List.of(0L, 0L, 0L), auditExecutions(whole(booking, 0), Map.of(booking.key(), 1)));
        assertEquals(List.of(2L, 0L, 0L), auditExecutions(whole(booking, 0), Map.of(booking.key(), 3)));
        assertEquals(List.of(0L, 1L, 0L), auditExecutions(refused(booking, "draining"), Map.of(booking.key(), 1)));
        assertEquals(List.of(0L, 0L, 1L), auditExecutions(whole(booking, 0), Map.of()));
    }

    private static List<Long> auditExecutions(Result result, Map<String, Integer> executions) {
        Map<Check, Long> counts =
                Audit.of(List.of(result), new Evidence(Optional.empty(), Optional.empty(), Optional.of(executions)));
        return List.of(
                counts.get(Check.DOUBLE_EXECUTIONS),
                counts.get(Check.EXECUTED_THOUGH_REFUSED),
                counts.get(Check.MISSING_EXECUTIONS));
    }
}
