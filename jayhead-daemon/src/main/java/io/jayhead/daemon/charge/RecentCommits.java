package io.jayhead.daemon.charge;

import io.jayhead.model.RequestKey;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Lets only one of several equal charges of this router reach the log; belongs to the control thread.
 *
 * <p>Two requests with one key at one router end with equal entries, which the log cannot tell from one entry that was
 * sent twice. Both would consume tokens, and only one is billed.
 */
final class RecentCommits {

    private static final int COMMITS_MAX = 4_096;

    private final Map<RequestKey, Commit> commits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestKey, Commit> eldest) {
            return size() > COMMITS_MAX;
        }
    };

    private static final class Commit {
        private final List<Consumer<ChargeResult>> followers = new ArrayList<>();
        private ChargeResult result;
    }

    /**
     * Registers a charge. The first one of a key goes on; a later one only learns whether the first is safe.
     *
     * @param key the request
     * @param follower is told the result if an earlier charge of the key is known
     * @return whether this is the first charge of the key
     */
    boolean isFirst(RequestKey key, Consumer<ChargeResult> follower) {
        Commit earlier = commits.get(key);
        if (earlier == null || earlier.result == ChargeResult.FAILED) {
            commits.put(key, new Commit());
            return true;
        }
        if (earlier.result == null) {
            earlier.followers.add(follower);
        } else {
            follower.accept(ChargeResult.DUPLICATE);
        }
        return false;
    }

    /** Records the result of the first charge of a key and tells the later ones. */
    void complete(RequestKey key, ChargeResult result) {
        Commit commit = commits.get(key);
        if (commit == null) {
            return;
        }
        commit.result = result;
        ChargeResult forFollowers = result == ChargeResult.FAILED ? ChargeResult.FAILED : ChargeResult.DUPLICATE;
        commit.followers.forEach(follower -> follower.accept(forFollowers));
        commit.followers.clear();
    }
}
