package io.jayhead.ctl.router;

import java.util.List;
import java.util.function.Predicate;
import okhttp3.HttpUrl;

/** Sends a request to the first of several routers that can handle it. */
public final class RouterGroup {

    /** Two rounds cover a router that restarts between them. */
    private static final int REPEATABLE_ROUNDS = 2;

    private static final long ROUND_PAUSE_MS = 300;

    private final RouterClient client;
    private final List<HttpUrl> routers;

    /**
     * Creates a group.
     *
     * @param client sends the requests
     * @param routers the addresses in the order in which they are tried, at least one
     */
    public RouterGroup(RouterClient client, List<HttpUrl> routers) {
        this.client = client;
        this.routers = List.copyOf(routers);
    }

    /**
     * Sends a request that changes nothing; any failure that may be a router's own leads to the next router.
     *
     * @param request the request
     * @return the first definite answer, or the last reply
     */
    public Reply read(OperatorRequest request) {
        return send(request, RouterGroup::isDefinite);
    }

    /**
     * Sends a write that must not be repeated while its outcome is unknown.
     *
     * @param request the request
     * @return the reply of the first router that did not provably leave the write undone, or the last reply
     */
    public Reply writeOnce(OperatorRequest request) {
        return send(request, reply -> !reply.isNotRun());
    }

    /**
     * Sends a write that counts once however often it arrives.
     *
     * @param request the request, which carries its own id
     * @return the first definite answer, or the last reply
     */
    public Reply writeRepeatable(OperatorRequest request) {
        Reply reply = send(request, RouterGroup::isDefinite);
        for (int round = 1; round < REPEATABLE_ROUNDS && !isDefinite(reply); round++) {
            Pause.ofMs(ROUND_PAUSE_MS);
            reply = send(request, RouterGroup::isDefinite);
        }
        return reply;
    }

    private Reply send(OperatorRequest request, Predicate<Reply> isLast) {
        Reply reply = new Reply.NoAnswer(false, "no router");
        for (HttpUrl router : routers) {
            reply = client.send(router, request);
            if (isLast.test(reply)) {
                return reply;
            }
        }
        return reply;
    }

    private static boolean isDefinite(Reply reply) {
        return !reply.isNotRun() && !reply.isOutcomeUnknown();
    }
}
