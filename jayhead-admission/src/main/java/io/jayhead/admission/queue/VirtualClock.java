package io.jayhead.admission.queue;

import io.jayhead.model.OrganisationName;
import java.util.HashMap;
import java.util.Map;

/** Holds the virtual time of one priority and the last finish tag of each organisation. */
record VirtualClock(double virtualTime, Map<OrganisationName, Double> finishTags) {

    static final VirtualClock ZERO = new VirtualClock(0, Map.of());

    double startTag(QueuedRequest request) {
        return Math.max(virtualTime, finishTags.getOrDefault(request.organisation(), 0.0));
    }

    VirtualClock enqueued(QueuedRequest request) {
        double cost = Math.max(1, request.costTokens());
        Map<OrganisationName, Double> next = new HashMap<>(finishTags);
        next.put(request.organisation(), startTag(request) + cost / request.weight());
        return new VirtualClock(virtualTime, next);
    }

    /** Advances the time; finish tags that lie behind it have no effect and are dropped. */
    VirtualClock served(double startTag) {
        double time = Math.max(virtualTime, startTag);
        Map<OrganisationName, Double> next = new HashMap<>(finishTags);
        next.values().removeIf(tag -> tag <= time);
        return new VirtualClock(time, next);
    }
}
