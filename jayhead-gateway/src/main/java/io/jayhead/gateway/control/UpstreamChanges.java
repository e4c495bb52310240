package io.jayhead.gateway.control;

import java.util.List;

/**
 * Changes of the registry.
 *
 * @param changes the changes in their order
 */
public record UpstreamChanges(List<UpstreamChange> changes) {

    /** Copies the list. */
    public UpstreamChanges {
        changes = List.copyOf(changes);
    }
}
