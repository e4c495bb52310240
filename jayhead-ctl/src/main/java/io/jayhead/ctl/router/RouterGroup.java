package io.jayhead.ctl.router;

import java.util.List;
import java.util.function.Predicate;
import okhttp3.HttpUrl;

/** Sends requests to a list of routers, in order, until one of them gives a usable reply. */
public final class RouterGroup {

    /** The second round covers a router that restarted during the first. */
    private static final int IDEMPOTENT_WRITE_ROUNDS = 2;

    private static final long ROUND_PAUSE_MS = 300;

    private final RouterClient client;
    private final List<HttpUrl> routers;

    /**
     * Creates a group.
     *
     * @param client sends the individual requests
     * @param routers the addresses of the routers in the order in which they are tried; at least one
     */
    public RouterGroup(RouterClient client, List<HttpUrl> routers) {
        this.client = client;
        this.routers = List.copyOf(routers);
    }

    /**
     * Sends a read, and tries the next router after any failure that may concern only one router.
     *
     * @param request the request
     * @return the first definite answer, or the last reply if there is none
     */
    public Reply read(OperatorRequest request) {
        return send(request, RouterGroup::isDefinite);
    }

    /**
     * Sends a write that must not be repeated while its outcome is unknown.
     *
     * @param request the request
     * @return the first reply that does not prove that the write had no effect, or the last reply if all of them do
     */
    public Reply writeOnce(OperatorRequest request) {
        return send(request, reply -> !reply.isNotRun());
    }

    /**
     * Sends an idempotent write. If no router gives a definite answer, all routers are tried once more.
     *
     * @param request the request, whose body carries an id that makes it idempotent
     * @return the first definite answer, or the last reply if there is none
     */
    public Reply writeIdempotent(OperatorRequest request) {
        Reply reply = send(request, RouterGroup::isDefinite);
        for (int round = 1; round < IDEMPOTENT_WRITE_ROUNDS && !isDefinite(reply); round++) {
            Pause.ofMs(ROUND_PAUSE_MS);
            reply = send(request, RouterGroup::isDefinite);
        }
        return reply;
    }

    private Reply send(OperatorRequest request, Predicate<Reply> isFinal) {
        Reply reply = new Reply.NoAnswer(false, "no router");
        for (HttpUrl router : routers) {
            reply = client.send(router, request);
            if (isFinal.test(reply)) {
                return reply;
            }
        }
        return reply;
    }

    private static boolean isDefinite(Reply reply) {
        return !reply.isNotRun() && !reply.isOutcomeUnknown();
    }
}
