package io.jayhead.gateway.control;

import java.util.List;

/**
 * Changes of the evacuations that one watch reports.
 *
 * @param changes the changes in the order in which they were made
 */
public record EvacuationChanges(List<EvacuationChange> changes) {

    /** Makes an immutable copy of the list. */
    public EvacuationChanges {
        changes = List.copyOf(changes);
    }
}
