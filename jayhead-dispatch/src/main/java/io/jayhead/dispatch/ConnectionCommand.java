package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;

/** Tells the upstream client what to do with the connections of an upstream. */
public sealed interface ConnectionCommand {

    /**
     * Drops all pooled connections to an upstream.
     *
     * @param upstream the upstream
     */
    record DropPool(UpstreamName upstream) implements ConnectionCommand {}

    /**
     * Marks an upstream as down until a request to it makes progress.
     *
     * @param upstream the upstream
     */
    record MarkDown(UpstreamName upstream) implements ConnectionCommand {}

    /**
     * Removes the mark, because a request made progress.
     *
     * @param upstream the upstream
     */
    record MarkUp(UpstreamName upstream) implements ConnectionCommand {}
}
