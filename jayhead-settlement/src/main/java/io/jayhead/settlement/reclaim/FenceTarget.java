package io.jayhead.settlement.reclaim;

import io.jayhead.model.UpstreamName;

/**
 * Describes an upstream on which the budget can be spent, so that a reclaim must fence it.
 *
 * @param upstream the upstream
 * @param checksFencing whether the upstream rejects requests with an old fencing token
 */
public record FenceTarget(UpstreamName upstream, boolean checksFencing) {}
