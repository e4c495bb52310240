package io.jayhead.settlement.reclaim;

import io.jayhead.model.UpstreamName;

/**
 * Names an upstream on which the budget can be spent.
 *
 * @param upstream the upstream
 * @param checksFencing whether it refuses orders with an old fencing token
 */
public record FenceTarget(UpstreamName upstream, boolean checksFencing) {}
