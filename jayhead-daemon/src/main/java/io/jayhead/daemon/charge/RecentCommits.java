package io.jayhead.daemon.charge;

import io.jayhead.model.RequestKey;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Selects, among several charges of this router with the same request key, the one that is passed on to the log.
 * Confined to the control thread.
 *
 * <p>Two requests with the same key at one router can end with equal charge entries. The log takes the second entry for
 * a retry of the first and bills only one of them, but both requests would consume tokens of the grant.
 */
final class RecentCommits {

    private static final int MAX_COMMITS = 4_096;

    private final Map<RequestKey, Commit> commits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestKey, Commit> eldest) {
            return size() > MAX_COMMITS;
        }
    };

    private static final class Commit {
        private final List<Consumer<ChargeResult>> waitingCallbacks = new ArrayList<>();
        private ChargeResult result;
    }

    /**
     * Registers a charge. Only the first charge of a key is to be committed. The callback of a later charge receives
     * {@link ChargeResult#FAILED} if the first one fails, otherwise {@link ChargeResult#DUPLICATE} as soon as a charge
     * of the key is in the log or held by peers.
     *
     * @param key the key of the request
     * @param callback receives the result if this is not the first charge of the key; otherwise it is not called
     * @return true if this is the first charge of the key, or if the earlier one has failed
     */
    boolean registerIfFirst(RequestKey key, Consumer<ChargeResult> callback) {
        Commit earlier = commits.get(key);
        if (earlier == null || earlier.result == ChargeResult.FAILED) {
            commits.put(key, new Commit());
            return true;
        }
        if (earlier.result == null) {
            earlier.waitingCallbacks.add(callback);
        } else {
            callback.accept(ChargeResult.DUPLICATE);
        }
        return false;
    }

    /** Records the result of the first charge of a key, and calls the waiting callbacks of the later ones. */
    void complete(RequestKey key, ChargeResult result) {
        Commit commit = commits.get(key);
        if (commit == null) {
            return;
        }
        commit.result = result;
        ChargeResult resultForLater = result == ChargeResult.FAILED ? ChargeResult.FAILED : ChargeResult.DUPLICATE;
        commit.waitingCallbacks.forEach(callback -> callback.accept(resultForLater));
        commit.waitingCallbacks.clear();
    }
}
