package io.jayhead.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stores objects by kind and name. Each change increments one global revision; the latest changes are kept for watches.
 */
final class ObjectStore {

    private final int historyEntries;
    private final Map<String, NavigableMap<String, StoredObject>> kinds = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision;
    private long lastDroppedRevision;

    ObjectStore(int historyEntries) {
        this.historyEntries = historyEntries;
    }

    long revision() {
        return revision;
    }

    Optional<StoredObject> find(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name));
    }

    /** Writes an object if the condition holds. Returns the stored object, or empty if the condition does not hold. */
    Optional<StoredObject> put(String kind, String name, String body, Precondition condition) {
        if (!condition.holds(objects(kind).get(name))) {
            return Optional.empty();
        }
        recordChange(new Change(kind, name, revision + 1, false));
        StoredObject written = new StoredObject(name, revision, body);
        objects(kind).put(name, written);
        return Optional.of(written);
    }

    boolean delete(String kind, String name, Precondition condition) {
        if (!condition.holds(objects(kind).get(name))) {
            return false;
        }
        recordChange(new Change(kind, name, revision + 1, true));
        objects(kind).remove(name);
        return true;
    }

    List<StoredObject> list(String kind, String prefix, String after, long limit) {
        String start = after.compareTo(prefix) > 0 ? after : prefix;
        return objects(kind).tailMap(start, true).values().stream()
                .takeWhile(object -> object.name().startsWith(prefix))
                .filter(object -> object.name().compareTo(after) > 0)
                .limit(limit)
                .toList();
    }

    /** Tells whether the history still has all changes after a revision. False also for a revision not reached yet. */
    boolean holdsChangesSince(long since) {
        return since >= lastDroppedRevision && since <= revision;
    }

    /**
     * Returns the changes of a kind after a revision, oldest first. Iterates from the newest change, because each write
     * makes hundreds of watches ask for the last few changes.
     */
    List<Change> changes(String kind, long since) {
        LinkedList<Change> found = new LinkedList<>();
        Iterator<Change> newestFirst = history.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.version() <= since) {
                break;
            }
            if (change.kind().equals(kind)) {
                found.addFirst(change);
            }
        }
        return found;
    }

    private NavigableMap<String, StoredObject> objects(String kind) {
        return kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private void recordChange(Change change) {
        revision = change.version();
        history.addLast(change);
        if (history.size() > historyEntries) {
            lastDroppedRevision = history.removeFirst().version();
        }
    }
}
