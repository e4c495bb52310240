package io.jayhead.settlement.reclaim;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import java.util.List;

/**
 * Describes the reclaim of a grant.
 *
 * @param budget the budget that the grant was taken from
 * @param holder the lost router incarnation
 * @param fencingToken the value to raise the fencing token of the holder to
 * @param nonce identifies this reclaim in the ledger entry
 * @param targets all upstreams on which the budget could be spent since the holder's first grant, including upstreams
 *     that were removed from the fleet text
 */
public record ReclaimPlan(
        BudgetId budget, IncarnationId holder, long fencingToken, String nonce, List<FenceTarget> targets) {

    /** Checks that the nonce is not blank and copies the list. */
    public ReclaimPlan {
        Checks.requireNotBlank(nonce, "nonce");
        targets = List.copyOf(targets);
    }
}
