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

/** Holds all objects under one global revision and the latest changes. */
final class ObjectStore {

    private final int historyEntries;
    private final Map<String, NavigableMap<String, StoredObject>> kinds = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision;
    private long forgottenRevision;

    ObjectStore(int historyEntries) {
        this.historyEntries = historyEntries;
    }

    long revision() {
        return revision;
    }

    Optional<StoredObject> find(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name));
    }

    /** Writes an object if the condition holds, and returns it. */
    Optional<StoredObject> put(String kind, String name, String body, Precondition condition) {
        if (!condition.holds(objects(kind).get(name))) {
            return Optional.empty();
        }
        record(new Change(kind, name, revision + 1, false));
        StoredObject written = new StoredObject(name, revision, body);
        objects(kind).put(name, written);
        return Optional.of(written);
    }

    boolean delete(String kind, String name, Precondition condition) {
        if (!condition.holds(objects(kind).get(name))) {
            return false;
        }
        record(new Change(kind, name, revision + 1, true));
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

    /** Tells whether all changes after the revision are still held. */
    boolean holdsChangesSince(long since) {
        return since >= forgottenRevision && since <= revision;
    }

    /** Walks from the newest change, because hundreds of watches ask for the last few on each write. */
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

    private void record(Change change) {
        revision = change.version();
        history.addLast(change);
        if (history.size() > historyEntries) {
            forgottenRevision = history.removeFirst().version();
        }
    }
}
