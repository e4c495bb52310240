package io.jayhead.admission.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.Either;
import io.jayhead.model.OrganisationName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against an organisation that floods a router with requests and delays those of others.
 *
 * <p>This would happen if the queue were ordered by arrival, or if one blocked request held up other lanes.
 */
class FairQueueTest {

    private static final int SERVED_REQUESTS = 1_000;
    private static final int BACKLOG_REQUESTS = 40;

    private int lastId;

    /** Keeps ten times as many requests of the flooding organisation waiting as of the other; both always have work. */
    @Property(tries = 60)
    void floodingOrganisationGetsItsShareWithinTenPercent(
            @ForAll @IntRange(min = 1, max = 8) int floodingWeight,
            @ForAll @IntRange(min = 1, max = 8) int otherWeight,
            @ForAll long costSeed) {
        Random costs = new Random(costSeed);
        FairQueue queue = FairQueue.empty(BACKLOG_REQUESTS * 10, BACKLOG_REQUESTS * 20);
        Map<String, Long> servedTokens = new HashMap<>();
        for (int served = 0; served < SERVED_REQUESTS; served++) {
            queue = fill(queue, "flooding", floodingWeight, BACKLOG_REQUESTS * 10, costs);
            queue = fill(queue, "other", otherWeight, BACKLOG_REQUESTS, costs);
            Dequeued next = queue.next(request -> true).orElseThrow();
            servedTokens.merge(
                    next.request().organisation().value(), next.request().costTokens(), Long::sum);
            queue = next.queue();
        }
        double totalTokens =
                servedTokens.values().stream().mapToLong(Long::longValue).sum();
        double share = servedTokens.get("flooding") / totalTokens;
        double expected = (double) floodingWeight / (floodingWeight + otherWeight);
        assertEquals(1, share / expected, 0.1);
        assertEquals(1, (1 - share) / (1 - expected), 0.1);
    }

    @Example
    void higherPriorityGoesFirstAndLanesKeepTheirOrder() {
        FairQueue queue = offer(FairQueue.empty(9, 9), request("slow", "a", "lane-a", 5));
        queue = offer(queue, request("behind-slow", "a", "lane-a", 5));
        queue = offer(queue, request("other-lane", "a", "lane-b", 5));
        queue = offer(queue, request("urgent", "b", "lane-c", 9));
        assertEquals(
                "urgent", queue.next(request -> true).orElseThrow().request().id());
        Dequeued next = queue.next(request -> !List.of("slow", "urgent").contains(request.id()))
                .orElseThrow();
        assertEquals("other-lane", next.request().id());
        assertEquals(3, next.queue().size());
    }

    @Example
    void fullQueuesAndHopelessWaitsAreRefusedAndOldRequestsExpire() {
        FairQueue queue = offer(FairQueue.empty(1, 2), request("first", "a", "lane-a", 5));
        QueuedRequest second = request("second", "a", "lane-a", 5);
        assertEquals(Either.left(QueueRefusal.ORGANISATION_FULL), queue.offer(second, 0, 0));
        QueuedRequest other = request("other", "b", "lane-b", 5);
        assertEquals(Either.left(QueueRefusal.DEADLINE_CANNOT_BE_MET), queue.offer(other, 0, 101));
        FairQueue full = offer(queue, other);
        QueuedRequest third = request("third", "c", "lane-c", 5);
        assertEquals(Either.left(QueueRefusal.QUEUE_FULL), full.offer(third, 0, 0));
        assertTrue(full.expired(99).isEmpty());
        assertEquals(2, full.expired(100).size());
    }

    private FairQueue fill(FairQueue queue, String organisation, int weight, int backlog, Random costs) {
        FairQueue next = queue;
        while (next.size(OrganisationName.of(organisation)) < backlog) {
            String id = organisation + (++lastId);
            long cost = 1 + costs.nextInt(50);
            QueuedRequest request =
                    new QueuedRequest(id, OrganisationName.of(organisation), organisation, 5, cost, weight, 100);
            next = offer(next, request);
        }
        return next;
    }

    private static QueuedRequest request(String id, String organisation, String lane, int priority) {
        return new QueuedRequest(id, OrganisationName.of(organisation), lane, priority, 10, 1, 100);
    }

    private static FairQueue offer(FairQueue queue, QueuedRequest request) {
        return queue.offer(request, 0, 0).get();
    }
}
