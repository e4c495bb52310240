package io.jayhead.settlement.reclaim;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import java.util.List;

/**
 * Describes a reclaim.
 *
 * @param budget the budget
 * @param holder the lost router incarnation
 * @param fencingNumber the fencing token to raise to
 * @param nonce identifies this reclaim in the ledger
 * @param targets all upstreams on which the budget could be spent since the holder's first grant, including those
 *     that have left the fleet text since
 */
public record ReclaimPlan(
        BudgetId budget, IncarnationId holder, long fencingNumber, String nonce, List<FenceTarget> targets) {

    /** Checks the nonce and copies the list. */
    public ReclaimPlan {
        Checks.requireNotBlank(nonce, "nonce");
        targets = List.copyOf(targets);
    }
}
