package io.jayhead.gateway.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Holds the requests of one budget that wait for tokens, in the order of their arrival; used by the traffic thread.
 */
final class WaitingRequests {

    private final List<WaitingRequest> requests = new ArrayList<>();

    void add(WaitingRequest request) {
        requests.add(request);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    boolean any(Predicate<WaitingRequest> condition) {
        return requests.stream().anyMatch(condition);
    }

    boolean all(Predicate<WaitingRequest> condition) {
        return requests.stream().allMatch(condition);
    }

    int mostUrgentRank() {
        return requests.stream().mapToInt(WaitingRequest::rank).min().orElse(0);
    }

    long tokens() {
        return requests.stream().mapToLong(WaitingRequest::tokens).sum();
    }

    long tokens(int rank) {
        return ofRank(rank).stream().mapToLong(WaitingRequest::tokens).sum();
    }

    /** Returns the least value among the requests of a rank; {@link Long#MAX_VALUE} if there is no such request. */
    long least(int rank, ToLongFunction<WaitingRequest> value) {
        return ofRank(rank).stream().mapToLong(value).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Returns the requests by rank, the most urgent first; requests of the same rank keep the order of their arrival.
     */
    List<WaitingRequest> byUrgency() {
        return requests.stream()
                .sorted(Comparator.comparingInt(WaitingRequest::rank))
                .toList();
    }

    void remove(List<WaitingRequest> removed) {
        requests.removeAll(removed);
    }

    /** Removes the requests that match a condition and passes them the result. */
    void completeIf(Predicate<WaitingRequest> condition, ReservationResult result) {
        List<WaitingRequest> completed = requests.stream().filter(condition).toList();
        remove(completed);
        completed.forEach(request -> request.callback().accept(result));
    }

    private List<WaitingRequest> ofRank(int rank) {
        return requests.stream().filter(request -> request.rank() == rank).toList();
    }
}
