package io.jayhead.platform;

import java.util.List;

/** Gives the outcome of a watch. */
public sealed interface WatchResult permits WatchResult.Changed, WatchResult.Unavailable {

    /**
     * The watch ended with the changes since the requested revision, or with none if the wait ended first.
     *
     * @param revision the revision to continue from
     * @param changes the changes, oldest first
     */
    record Changed(long revision, List<ObjectChange> changes) implements WatchResult {

        /** Copies the list. */
        public Changed {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The platform gave no usable answer.
     *
     * @param reason the cause, for logs
     */
    record Unavailable(String reason) implements WatchResult {}
}
