package io.jayhead.daemon.upstream;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.fleet.UpstreamSpec;

/**
 * An attempt that a client sends to an upstream.
 *
 * @param number the number of the attempt within its request
 * @param upstream the upstream
 * @param upstreamRequestId the id of the run at the upstream
 * @param holder the incarnation of this router, which holds the fencing token
 * @param priority the scheduling priority from 0 to 9
 * @param resumeFromIndex the index of the first token to ask for when a run is resumed; 0 starts a new run
 * @param freshConnection whether the attempt must open a new connection instead of using a pooled one
 */
public record AttemptRequest(
        int number,
        UpstreamSpec upstream,
        String upstreamRequestId,
        IncarnationId holder,
        int priority,
        long resumeFromIndex,
        boolean freshConnection) {}
