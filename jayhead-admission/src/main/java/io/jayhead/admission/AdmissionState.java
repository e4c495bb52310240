package io.jayhead.admission;

import io.jayhead.admission.budget.GrantBook;
import io.jayhead.admission.collection.PersistentMap;
import io.jayhead.admission.queue.FairQueue;
import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;

/**
 * Holds the immutable admission state of one router.
 *
 * @param settings the settings
 * @param book the token accounts and reservations
 * @param queue the waiting requests in queue order
 * @param waiting the waiting requests by id
 * @param running the requests in flight by id
 * @param demands the demand for each budget in use
 * @param inFlightByOrganisation the number of requests in flight of each organisation, without those that have none
 * @param inFlight the number of requests in flight
 * @param fresh whether the configuration is confirmed as current
 * @param draining whether the router is shutting down
 * @param requestedLoans the number of loans requested so far; numbers the transfer ids
 * @param meanServiceMs the moving average of the time that a request runs, 0 if none has ended
 * @param nextSurplusCheckMs the time of the next check for surplus tokens to return
 */
public record AdmissionState(
        AdmissionSettings settings,
        GrantBook book,
        FairQueue queue,
        PersistentMap<String, AdmissionRequest> waiting,
        PersistentMap<String, RunningRequest> running,
        PersistentMap<BudgetId, BudgetDemand> demands,
        PersistentMap<OrganisationName, Integer> inFlightByOrganisation,
        int inFlight,
        boolean fresh,
        boolean draining,
        long requestedLoans,
        double meanServiceMs,
        long nextSurplusCheckMs) {

    private static final double NEWEST_SERVICE_TIME_WEIGHT = 0.1;

    /**
     * Returns the initial state of a router, which admits nothing until its configuration is confirmed.
     *
     * @param settings the settings
     * @return the state
     */
    public static AdmissionState of(AdmissionSettings settings) {
        return new AdmissionState(
                settings,
                GrantBook.empty(),
                FairQueue.empty(settings.organisationQueueLimit(), settings.queueLimit()),
                PersistentMap.empty(),
                PersistentMap.empty(),
                PersistentMap.empty(),
                PersistentMap.empty(),
                0,
                false,
                false,
                0,
                0,
                0);
    }

    int inFlight(OrganisationName organisation) {
        return inFlightByOrganisation.get(organisation).orElse(0);
    }

    BudgetDemand demand(BudgetId budget, long nowMs) {
        return demands.get(budget).orElseGet(() -> BudgetDemand.empty(nowMs));
    }

    AdmissionState withBook(GrantBook next) {
        return copy(next, queue, waiting, demands, requestedLoans);
    }

    AdmissionState withQueue(FairQueue next) {
        return copy(book, next, waiting, demands, requestedLoans);
    }

    AdmissionState withWaiting(FairQueue nextQueue, AdmissionRequest request) {
        return copy(book, nextQueue, waiting.with(request.id(), request), demands, requestedLoans);
    }

    AdmissionState withoutWaiting(String id) {
        FairQueue remaining = queue.without(request -> request.id().equals(id));
        return copy(book, remaining, waiting.without(id), demands, requestedLoans);
    }

    AdmissionState withDemand(BudgetId budget, BudgetDemand demand) {
        return copy(book, queue, waiting, demands.with(budget, demand), requestedLoans);
    }

    AdmissionState withoutDemand(BudgetId budget) {
        return copy(book, queue, waiting, demands.without(budget), requestedLoans);
    }

    AdmissionState withRequestedLoans(long next) {
        return copy(book, queue, waiting, demands, next);
    }

    AdmissionState started(AdmissionRequest request, long nowMs) {
        RunningRequest started = new RunningRequest(request.organisation(), nowMs);
        return withRunning(running.with(request.id(), started), request.organisation(), 1, meanServiceMs);
    }

    AdmissionState ended(String id, RunningRequest request, long nowMs) {
        double serviceMs = Math.max(0, nowMs - request.startedAtMs());
        double nextMeanServiceMs = meanServiceMs == 0
                ? serviceMs
                : meanServiceMs + NEWEST_SERVICE_TIME_WEIGHT * (serviceMs - meanServiceMs);
        return withRunning(running.without(id), request.organisation(), -1, nextMeanServiceMs);
    }

    AdmissionState withMode(boolean nextFresh, boolean nextDraining) {
        return new AdmissionState(
                settings,
                book,
                queue,
                waiting,
                running,
                demands,
                inFlightByOrganisation,
                inFlight,
                nextFresh,
                nextDraining,
                requestedLoans,
                meanServiceMs,
                nextSurplusCheckMs);
    }

    AdmissionState withMaxInFlight(int maxInFlight) {
        return new AdmissionState(
                settings.withMaxInFlight(maxInFlight),
                book,
                queue,
                waiting,
                running,
                demands,
                inFlightByOrganisation,
                inFlight,
                fresh,
                draining,
                requestedLoans,
                meanServiceMs,
                nextSurplusCheckMs);
    }

    AdmissionState withNextSurplusCheck(long nextCheckMs) {
        return new AdmissionState(
                settings,
                book,
                queue,
                waiting,
                running,
                demands,
                inFlightByOrganisation,
                inFlight,
                fresh,
                draining,
                requestedLoans,
                meanServiceMs,
                nextCheckMs);
    }

    private AdmissionState withRunning(
            PersistentMap<String, RunningRequest> next,
            OrganisationName organisation,
            int inFlightDelta,
            double nextMeanServiceMs) {
        int organisationInFlight = inFlight(organisation) + inFlightDelta;
        return new AdmissionState(
                settings,
                book,
                queue,
                waiting,
                next,
                demands,
                organisationInFlight == 0
                        ? inFlightByOrganisation.without(organisation)
                        : inFlightByOrganisation.with(organisation, organisationInFlight),
                inFlight + inFlightDelta,
                fresh,
                draining,
                requestedLoans,
                nextMeanServiceMs,
                nextSurplusCheckMs);
    }

    private AdmissionState copy(
            GrantBook nextBook,
            FairQueue nextQueue,
            PersistentMap<String, AdmissionRequest> nextWaiting,
            PersistentMap<BudgetId, BudgetDemand> nextDemands,
            long nextRequestedLoans) {
        return new AdmissionState(
                settings,
                nextBook,
                nextQueue,
                nextWaiting,
                running,
                nextDemands,
                inFlightByOrganisation,
                inFlight,
                fresh,
                draining,
                nextRequestedLoans,
                meanServiceMs,
                nextSurplusCheckMs);
    }
}
