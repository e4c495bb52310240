package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;

/** Tells the upstream client how to treat the connections to an upstream. */
public sealed interface ConnectionCommand {

    /**
     * Drops all pooled connections to an upstream.
     *
     * @param upstream the upstream
     */
    record DropPool(UpstreamName upstream) implements ConnectionCommand {}

    /**
     * Marks an upstream as down until a request to the upstream makes progress.
     *
     * @param upstream the upstream
     */
    record MarkDown(UpstreamName upstream) implements ConnectionCommand {}

    /**
     * Removes the down mark of an upstream after a request made progress.
     *
     * @param upstream the upstream
     */
    record MarkUp(UpstreamName upstream) implements ConnectionCommand {}
}
