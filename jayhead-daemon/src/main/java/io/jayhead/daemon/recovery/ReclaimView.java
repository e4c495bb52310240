package io.jayhead.daemon.recovery;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.settlement.reclaim.ReclaimStep;

/**
 * The state of a reclaim as operators see it.
 *
 * @param budget the budget
 * @param holder the lost router incarnation
 * @param step the current step
 * @param reason why the grant is written off; empty if it is not
 * @param strandedTokens the granted tokens that are not known to be consumed; 0 once the entry is closed
 */
public record ReclaimView(
        BudgetId budget, IncarnationId holder, ReclaimStep step, String reason, long strandedTokens) {}
