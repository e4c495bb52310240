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

    /** Advances the virtual time and drops the finish tags up to it, which have no effect any more. */
    VirtualClock served(double startTag) {
        double time = Math.max(virtualTime, startTag);
        Map<OrganisationName, Double> next = new HashMap<>(finishTags);
        next.values().removeIf(tag -> tag <= time);
        return new VirtualClock(time, next);
    }
}
