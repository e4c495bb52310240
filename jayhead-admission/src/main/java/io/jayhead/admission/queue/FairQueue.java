package io.jayhead.admission.queue;

import io.jayhead.model.Either;
import io.jayhead.model.OrganisationName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Orders waiting requests by priority and, within a priority, by weighted fair queueing between organisations;
 * immutable.
 *
 * <p>The order is start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing: A Scheduling
 * Algorithm for Integrated Services Packet Switching Networks", IEEE/ACM Transactions on Networking 5(5), 1997. A
 * request starts at the later of the virtual time and the finish tag of the organisation's last request; the smallest
 * start tag is served first.
 */
public final class FairQueue {

    private final int organisationLimit;
    private final int totalLimit;
    private final List<TaggedRequest> waiting;
    private final Map<Integer, VirtualClock> clocks;

    private FairQueue(
            int organisationLimit, int totalLimit, List<TaggedRequest> waiting, Map<Integer, VirtualClock> clocks) {
        this.organisationLimit = organisationLimit;
        this.totalLimit = totalLimit;
        this.waiting = waiting;
        this.clocks = clocks;
    }

    /**
     * Returns a queue without requests.
     *
     * @param organisationLimit the maximum number of waiting requests of one organisation
     * @param totalLimit the maximum number of waiting requests of all organisations
     * @return the queue
     */
    public static FairQueue empty(int organisationLimit, int totalLimit) {
        return new FairQueue(organisationLimit, totalLimit, List.of(), Map.of());
    }

    /**
     * Adds a request, unless a limit is reached or the request would expire before it starts.
     *
     * @param request the request
     * @param nowMs the time
     * @param estimatedWaitMs the estimated time until the request starts
     * @return the new queue, or the reason for the refusal
     */
    public Either<QueueRefusal, FairQueue> offer(QueuedRequest request, long nowMs, long estimatedWaitMs) {
        if (waiting.size() >= totalLimit) {
            return Either.left(QueueRefusal.QUEUE_FULL);
        }
        if (size(request.organisation()) >= organisationLimit) {
            return Either.left(QueueRefusal.ORGANISATION_FULL);
        }
        if (estimatedWaitMs > request.expiresAtMs() - nowMs) {
            return Either.left(QueueRefusal.DEADLINE_CANNOT_BE_MET);
        }
        VirtualClock clock = clocks.getOrDefault(request.priority(), VirtualClock.ZERO);
        TaggedRequest tagged = new TaggedRequest(request, clock.startTag(request));
        List<TaggedRequest> next = new ArrayList<>(waiting);
        next.add(insertionIndex(tagged), tagged);
        return Either.right(with(next, withClock(request.priority(), clock.enqueued(request))));
    }

    /**
     * Takes the first request that may start now. A request that may not start blocks the later ones of its lane, but
     * not other lanes.
     *
     * @param mayStart tells whether a request may start now
     * @return the request and the remaining queue, or empty if no request may start
     */
    public Optional<Dequeued> next(Predicate<QueuedRequest> mayStart) {
        Set<String> blockedLanes = new HashSet<>();
        for (int index = 0; index < waiting.size(); index++) {
            QueuedRequest request = waiting.get(index).request();
            if (blockedLanes.contains(request.lane())) {
                continue;
            }
            if (mayStart.test(request)) {
                return Optional.of(new Dequeued(request, without(index)));
            }
            blockedLanes.add(request.lane());
        }
        return Optional.empty();
    }

    /**
     * Returns the requests that have waited too long.
     *
     * @param nowMs the time
     * @return the expired requests, in queue order
     */
    public List<QueuedRequest> expired(long nowMs) {
        return waiting().stream()
                .filter(request -> request.expiresAtMs() <= nowMs)
                .toList();
    }

    /**
     * Removes requests.
     *
     * @param condition tells which requests to remove
     * @return the new queue
     */
    public FairQueue without(Predicate<QueuedRequest> condition) {
        List<TaggedRequest> next = waiting.stream()
                .filter(tagged -> !condition.test(tagged.request()))
                .toList();
        return next.size() == waiting.size() ? this : with(next, clocks);
    }

    /**
     * Returns the waiting requests.
     *
     * @return the requests, in queue order
     */
    public List<QueuedRequest> waiting() {
        return waiting.stream().map(TaggedRequest::request).toList();
    }

    /**
     * Counts the waiting requests.
     *
     * @return the number
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Counts the waiting requests of an organisation.
     *
     * @param organisation the organisation
     * @return the number
     */
    public int size(OrganisationName organisation) {
        return (int) waiting.stream()
                .filter(tagged -> tagged.request().organisation().equals(organisation))
                .count();
    }

    /**
     * Counts the waiting requests that come before a new request in queue order.
     *
     * @param request the new request
     * @return the number
     */
    public int ahead(QueuedRequest request) {
        VirtualClock clock = clocks.getOrDefault(request.priority(), VirtualClock.ZERO);
        return insertionIndex(new TaggedRequest(request, clock.startTag(request)));
    }

    private int insertionIndex(TaggedRequest tagged) {
        int index = waiting.size();
        while (index > 0 && tagged.precedes(waiting.get(index - 1))) {
            index--;
        }
        return index;
    }

    private FairQueue without(int index) {
        TaggedRequest taken = waiting.get(index);
        int priority = taken.request().priority();
        List<TaggedRequest> next = new ArrayList<>(waiting);
        next.remove(index);
        VirtualClock clock = clocks.getOrDefault(priority, VirtualClock.ZERO).served(taken.startTag());
        return with(next, withClock(priority, clock));
    }

    private Map<Integer, VirtualClock> withClock(int priority, VirtualClock clock) {
        Map<Integer, VirtualClock> next = new HashMap<>(clocks);
        next.put(priority, clock);
        return next;
    }

    /** Drops the clocks of an empty queue, because its next request starts a new busy period. */
    private FairQueue with(List<TaggedRequest> next, Map<Integer, VirtualClock> nextClocks) {
        return new FairQueue(organisationLimit, totalLimit, next, next.isEmpty() ? Map.of() : nextClocks);
    }
}
