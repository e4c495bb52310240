package io.jayhead.admission;

import io.jayhead.admission.budget.GrantBook;
import io.jayhead.admission.collection.PersistentMap;
import io.jayhead.admission.queue.FairQueue;
import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;

/**
 * Holds the state of admission at one router.
 *
 * @param settings the settings
 * @param book the grants held
 * @param queue the order of the waiting requests
 * @param waiting the waiting requests by id
 * @param running the started requests by id
 * @param demands the demand for each budget in use
 * @param inFlightByOrganisation the started requests of each organisation
 * @param inFlight the number of started requests
 * @param fresh whether the configuration is current
 * @param draining whether the router shuts down
 * @param transfers the number of loans asked for
 * @param meanServiceMs the mean time of a request, 0 if unknown
 * @param nextSurplusCheckMs the time of the next check for an idle surplus
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
        long transfers,
        double meanServiceMs,
        long nextSurplusCheckMs) {

    private static final double MEAN_WEIGHT = 0.1;

    /**
     * Returns the state of a router that was just started and is not fresh yet.
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
        return copy(next, queue, waiting, demands, transfers);
    }

    AdmissionState withQueue(FairQueue next) {
        return copy(book, next, waiting, demands, transfers);
    }

    AdmissionState withWaiting(FairQueue nextQueue, AdmissionRequest request) {
        return copy(book, nextQueue, waiting.with(request.id(), request), demands, transfers);
    }

    AdmissionState withoutWaiting(String id) {
        FairQueue rest = queue.without(request -> request.id().equals(id));
        return copy(book, rest, waiting.without(id), demands, transfers);
    }

    AdmissionState withDemand(BudgetId budget, BudgetDemand demand) {
        return copy(book, queue, waiting, demands.with(budget, demand), transfers);
    }

    AdmissionState withoutDemand(BudgetId budget) {
        return copy(book, queue, waiting, demands.without(budget), transfers);
    }

    AdmissionState withTransfers(long next) {
        return copy(book, queue, waiting, demands, next);
    }

    AdmissionState started(AdmissionRequest request, long nowMs) {
        RunningRequest started = new RunningRequest(request.organisation(), nowMs);
        return running(running.with(request.id(), started), request.organisation(), 1, meanServiceMs);
    }

    AdmissionState ended(String id, RunningRequest request, long nowMs) {
        double serviceMs = Math.max(0, nowMs - request.startedAtMs());
        double mean = meanServiceMs == 0 ? serviceMs : meanServiceMs + MEAN_WEIGHT * (serviceMs - meanServiceMs);
        return running(running.without(id), request.organisation(), -1, mean);
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
                transfers,
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
                transfers,
                meanServiceMs,
                nextSurplusCheckMs);
    }

    AdmissionState withNextSurplusCheck(long atMs) {
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
                transfers,
                meanServiceMs,
                atMs);
    }

    private AdmissionState running(
            PersistentMap<String, RunningRequest> next, OrganisationName organisation, int change, double meanMs) {
        int count = inFlight(organisation) + change;
        return new AdmissionState(
                settings,
                book,
                queue,
                waiting,
                next,
                demands,
                count == 0
                        ? inFlightByOrganisation.without(organisation)
                        : inFlightByOrganisation.with(organisation, count),
                inFlight + change,
                fresh,
                draining,
                transfers,
                meanMs,
                nextSurplusCheckMs);
    }

    private AdmissionState copy(
            GrantBook nextBook,
            FairQueue nextQueue,
            PersistentMap<String, AdmissionRequest> nextWaiting,
            PersistentMap<BudgetId, BudgetDemand> nextDemands,
            long nextTransfers) {
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
                nextTransfers,
                meanServiceMs,
                nextSurplusCheckMs);
    }
}
