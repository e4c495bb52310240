package io.jayhead.gateway.control;

import java.util.List;

/**
 * Changes of the recorded parts of prompts that one watch reports.
 *
 * @param changes the changes in the order in which they were made
 */
public record CrashChanges(List<CrashChange> changes) {

    /** Makes an immutable copy of the list. */
    public CrashChanges {
        changes = List.copyOf(changes);
    }
}
