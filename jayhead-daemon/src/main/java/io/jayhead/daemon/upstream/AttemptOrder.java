package io.jayhead.daemon.upstream;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.fleet.UpstreamSpec;

/**
 * An attempt to be sent to an upstream.
 *
 * @param attempt the number of the attempt
 * @param upstream the upstream
 * @param upstreamRequestId the id of the run at the upstream
 * @param holder the router, as the holder of the fencing token
 * @param priority the priority from 0 to 9
 * @param resumeFromIndex the first token to ask for; 0 sends the request itself
 * @param freshConnection whether no pooled connection may be used
 */
public record AttemptOrder(
        int attempt,
        UpstreamSpec upstream,
        String upstreamRequestId,
        IncarnationId holder,
        int priority,
        long resumeFromIndex,
        boolean freshConnection) {}
