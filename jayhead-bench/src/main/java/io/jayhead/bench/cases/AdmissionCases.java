package io.jayhead.bench.cases;

import io.jayhead.admission.AdmissionController;
import io.jayhead.admission.AdmissionEvent;
import io.jayhead.admission.AdmissionRequest;
import io.jayhead.admission.AdmissionSettings;
import io.jayhead.admission.AdmissionState;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKind;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** Measures how the admission controller handles events, and the retained memory of its state. */
final class AdmissionCases {

    private static final Series BUDGETS = Series.of("budgets held", 100, 1_000, 10_000, 100_000);
    private static final Series ORGANISATIONS = Series.of("organisations in flight", 10, 100, 1_000, 14_000);
    private static final Series WAITING = Series.of("waiting requests", 10, 100, 256, 1_000);

    private static final long NOW_MS = 1_000_000;
    private static final long ONE_MINUTE_MS = 60_000;
    private static final long GRANT_TOKENS = 1_000_000;
    private static final long REQUEST_TOKENS = 500;
    private static final int UNLIMITED = 1_000_000;

    /** Requests that one router currently runs at a time. */
    private static final int SLOTS = 512;

    private AdmissionCases() {}

    static List<BenchCase> of(long seed) {
        Stream<BenchCase> budgets = Stream.of(
                        BUDGETS.timed(
                                "admission: request arrives and settles",
                                size -> arriveAndSettle(budgets(size), size, seed)),
                        BUDGETS.timed("admission: tick", size -> tick(budgets(size), NOW_MS)),
                        BUDGETS.timed(
                                "admission: tick with surplus check",
                                size -> tick(budgets(size), NOW_MS + ONE_MINUTE_MS)),
                        BUDGETS.timed("admission: grant received", size -> grant(budgets(size))),
                        BUDGETS.retained("admission: state", AdmissionCases::budgets))
                .flatMap(cases -> cases);
        Stream<BenchCase> organisations = Stream.concat(
                ORGANISATIONS.timed(
                        "admission: request arrives and settles",
                        size -> arriveAndSettle(organisations(size), size, seed)),
                ORGANISATIONS.retained("admission: state", AdmissionCases::organisations));
        Stream<BenchCase> waiting = Stream.of(
                        WAITING.timed(
                                "admission: arrival, waits for a slot", size -> arrive(waiting(size, true), size)),
                        WAITING.timed(
                                "admission: tick, all wait for a slot", size -> tick(waiting(size, true), NOW_MS)),
                        WAITING.timed(
                                "admission: arrival, all wait for tokens", size -> arrive(waiting(size, false), size)),
                        WAITING.timed(
                                "admission: tick, all wait for tokens", size -> tick(waiting(size, false), NOW_MS)))
                .flatMap(cases -> cases);
        return Stream.of(budgets, organisations, waiting)
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation arriveAndSettle(AdmissionState state, int budgets, long seed) {
        Random random = new Random(seed);
        return () -> {
            AdmissionRequest request = request("new", random.nextInt(budgets));
            AdmissionState started = stateAfter(state, new AdmissionEvent.RequestArrived(request, NOW_MS));
            return stateAfter(started, new AdmissionEvent.RequestSettled("new", REQUEST_TOKENS, NOW_MS));
        };
    }

    private static Operation arrive(AdmissionState state, int index) {
        AdmissionEvent event = new AdmissionEvent.RequestArrived(request("new", index), NOW_MS);
        return () -> AdmissionController.handle(state, event);
    }

    private static Operation tick(AdmissionState state, long nowMs) {
        AdmissionState checked = stateAfter(state, new AdmissionEvent.Tick(NOW_MS));
        AdmissionEvent event = new AdmissionEvent.Tick(nowMs);
        return () -> AdmissionController.handle(checked, event);
    }

    private static Operation grant(AdmissionState state) {
        AdmissionEvent event = new AdmissionEvent.GrantReceived(budget(0), GRANT_TOKENS, 0, NOW_MS);
        return () -> AdmissionController.handle(state, event);
    }

    private static AdmissionState empty(int slots) {
        AdmissionSettings settings = new AdmissionSettings(
                IncarnationId.of("incarnation-1"), slots, UNLIMITED, UNLIMITED, GrantSizer.of(2_000));
        return stateAfter(AdmissionState.of(settings), new AdmissionEvent.FreshnessChanged(true, NOW_MS));
    }

    private static AdmissionState budgets(int count) {
        return withGrants(empty(UNLIMITED), count);
    }

    private static AdmissionState withGrants(AdmissionState state, int count) {
        AdmissionState result = state;
        for (int index = 0; index < count; index++) {
            result = stateAfter(result, new AdmissionEvent.GrantReceived(budget(index), GRANT_TOKENS, 0, NOW_MS));
        }
        return result;
    }

    private static AdmissionState organisations(int count) {
        return withArrivals(budgets(count), "running-", count);
    }

    /** Returns a state with waiting requests: for a slot if their budgets have grants, otherwise for tokens. */
    private static AdmissionState waiting(int count, boolean granted) {
        if (!granted) {
            return withArrivals(empty(SLOTS), "waiting-", count);
        }
        AdmissionState full = withArrivals(withGrants(empty(SLOTS), Math.max(count, SLOTS) + 1), "running-", SLOTS);
        return withArrivals(full, "waiting-", count);
    }

    private static AdmissionState withArrivals(AdmissionState state, String prefix, int count) {
        AdmissionState result = state;
        for (int index = 0; index < count; index++) {
            result = stateAfter(result, new AdmissionEvent.RequestArrived(request(prefix + index, index), NOW_MS));
        }
        return result;
    }

    private static AdmissionRequest request(String id, int index) {
        return new AdmissionRequest(
                id,
                budget(index),
                OrganisationName.of("organisation-" + index),
                5,
                RequestKind.LONG_GENERATION,
                REQUEST_TOKENS,
                NOW_MS,
                NOW_MS + ONE_MINUTE_MS * 2,
                64);
    }

    private static BudgetId budget(int index) {
        return BudgetId.of("organisation-" + index, "main");
    }

    private static AdmissionState stateAfter(AdmissionState state, AdmissionEvent event) {
        return AdmissionController.handle(state, event).state();
    }
}
