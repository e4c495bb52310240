package io.jayhead.gateway.control;

import java.util.List;

/**
 * Changes of the registry that one watch reports.
 *
 * @param changes the changes in the order in which they were made
 */
public record UpstreamChanges(List<UpstreamChange> changes) {

    /** Makes an immutable copy of the list. */
    public UpstreamChanges {
        changes = List.copyOf(changes);
    }
}
