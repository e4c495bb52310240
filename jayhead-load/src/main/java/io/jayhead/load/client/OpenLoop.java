package io.jayhead.load.client;

import io.jayhead.load.plan.PlannedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** Sends each request of a plan at its planned arrival, without waiting for answers to earlier requests. */
public final class OpenLoop {

    private static final long NS_PER_MS = 1_000_000;

    private final List<PlannedRequest> plan;
    private final CallerClient client;

    /**
     * Creates an open loop.
     *
     * @param plan the requests in the order of their planned arrival
     * @param client the client that sends the requests
     */
    public OpenLoop(List<PlannedRequest> plan, CallerClient client) {
        this.plan = List.copyOf(plan);
        this.client = client;
    }

    /**
     * Sends the requests and collects their outcomes.
     *
     * @param drainMs the maximum time to wait for answers after the last request was sent
     * @return one result for each request in the order of the plan; requests without an answer count as unfinished
     * @throws InterruptedException if the thread is interrupted
     */
    public List<Result> run(long drainMs) throws InterruptedException {
        ConcurrentHashMap<Integer, Outcome> outcomes = new ConcurrentHashMap<>();
        CountDownLatch unanswered = new CountDownLatch(plan.size());
        long startNs = System.nanoTime();
        for (int index = 0; index < plan.size(); index++) {
            PlannedRequest request = plan.get(index);
            long arrivalNs = startNs + request.arrivalNs();
            awaitTime(arrivalNs);
            int position = index;
            LongSupplier sinceArrivalNs = () -> System.nanoTime() - arrivalNs;
            client.send(request, sinceArrivalNs, outcome -> {
                outcomes.putIfAbsent(position, outcome);
                unanswered.countDown();
            });
        }
        unanswered.await(drainMs, TimeUnit.MILLISECONDS);
        long endNs = System.nanoTime();
        return collect(index -> {
            PlannedRequest request = plan.get(index);
            long elapsedNs = endNs - startNs - request.arrivalNs();
            return outcomes.computeIfAbsent(
                    index, unansweredIndex -> Outcome.of(OutcomeType.UNFINISHED, "unfinished", elapsedNs));
        });
    }

    private List<Result> collect(Function<Integer, Outcome> outcomeAt) {
        List<Result> results = new ArrayList<>();
        for (int index = 0; index < plan.size(); index++) {
            results.add(new Result(plan.get(index), outcomeAt.apply(index)));
        }
        return results;
    }

    private static void awaitTime(long atNs) throws InterruptedException {
        for (long leftNs = atNs - System.nanoTime(); leftNs > 0; leftNs = atNs - System.nanoTime()) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(Math.min(leftNs, 100 * NS_PER_MS));
        }
    }
}
