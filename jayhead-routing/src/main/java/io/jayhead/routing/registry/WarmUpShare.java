package io.jayhead.routing.registry;

import io.jayhead.model.RendezvousHash;
import java.util.Collection;

/**
 * The part of what an upstream may get while it warms up that one router may send.
 *
 * <p>Answers the load of many routers on one upstream that takes fewer requests a second than there are routers. The
 * whole requests of a second are dealt out to the routers in the order of a rendezvous hash of upstream and router, so
 * that all routers agree without messages, the shares add up to the limit, and the routers that may send
 * differ between upstreams.
 *
 * @param requests the requests that this router may send within the window; 0 for none
 * @param windowMs the length of the sliding window in milliseconds
 */
public record WarmUpShare(int requests, long windowMs) {

    private static final long SECOND_MS = 1_000;

    /** The share of a router that may send nothing. */
    public static final WarmUpShare NONE = new WarmUpShare(0, SECOND_MS);

    /**
     * Computes the share of a router. An upstream that takes less than one request a second gets all of them from one
     * router, in a longer window.
     *
     * @param incarnation the incarnation of the upstream
     * @param self the VM name of the router
     * @param routers the VM names of all routers; a router that does not know any gets nothing, since it cannot know
     *     how many others send
     * @param requestsPerS what the upstream may get from all routers together, in requests a second
     * @return the share
     */
    public static WarmUpShare of(String incarnation, String self, Collection<String> routers, double requestsPerS) {
        if (routers.isEmpty()) {
            return NONE;
        }
        int requests = (int) Math.max(1, Math.floor(requestsPerS));
        long windowMs = requestsPerS >= 1 ? SECOND_MS : (long) Math.ceil(SECOND_MS / requestsPerS);
        int rank = 0;
        int others = 0;
        for (String router : routers) {
            if (router.equals(self)) {
                continue;
            }
            others++;
            rank += ranksBefore(router, self, incarnation) ? 1 : 0;
        }
        int fleetSize = others + 1;
        return rank >= requests ? NONE : new WarmUpShare((requests - rank - 1) / fleetSize + 1, windowMs);
    }

    private static boolean ranksBefore(String router, String other, String incarnation) {
        int weight = RendezvousHash.weight(router, incarnation);
        int otherWeight = RendezvousHash.weight(other, incarnation);
        return weight != otherWeight ? weight < otherWeight : router.compareTo(other) < 0;
    }
}
