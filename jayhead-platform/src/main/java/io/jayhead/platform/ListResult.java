package io.jayhead.platform;

import java.util.List;

/** Gives the outcome of listing objects. */
public sealed interface ListResult permits ListResult.Listed, ListResult.Unavailable {

    /**
     * The objects of all pages were listed.
     *
     * @param revision the revision of the first page; a watch from it misses no later change
     * @param objects the objects in order of their names
     */
    record Listed(long revision, List<StoredObject> objects) implements ListResult {

        /** Copies the list. */
        public Listed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The platform gave no usable answer for at least one page.
     *
     * @param reason the cause, for logs
     */
    record Unavailable(String reason) implements ListResult {}
}
