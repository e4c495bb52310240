package io.jayhead.admission.room;

import io.jayhead.admission.overload.AdaptiveLimit;
import io.jayhead.admission.overload.LimitUsage;
import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.admission.overload.TimedAnswer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests of one service a router sends, keeps waiting or turns away; immutable.
 *
 * <p>It answers the load pattern in which requests of several ranks, sizes and objectives together need more room than
 * the upstreams have: a burst of one route, the loss of upstreams, or one organisation at many times its usual load.
 * What is delayed or turned away is what costs callers least: the order is by rank, then by whether the objective can
 * still be met, then by the latest start that meets it, moved by the work that the request needs. Every arrival revises
 * the decisions on those that wait. There is no limit, and nothing waits, until answers are late.
 */
public final class ServiceAdmission {

    private static final int MAX_WAITING = 64;
    /** A waiting request is displaced when its expected wait exceeds what it may still wait by this factor. */
    private static final double DISPLACEMENT_FACTOR = 2;
    /** The assumed share of the capacity of its rank for a request that is late, since those in time go first. */
    private static final double LATE_SHARE = 0.25;
    /** The reports of upstreams are believed when this share of the places is covered by recent ones. */
    private static final double MIN_REPORTED_SHARE = 0.5;
    /** Below this share of places in use, the reports of upstreams overrule the limit. */
    private static final double MAX_USED_SHARE = 0.5;

    private final AdaptiveLimit limit;
    private final RankShares shares;
    private final OrganisationLoad load;
    private final List<WaitingRequest> waiting;
    private final RouteAnswers answers;
    private final ReturnSchedule returns;
    private final OverloadAge overload;

    private ServiceAdmission(
            AdaptiveLimit limit,
            RankShares shares,
            OrganisationLoad load,
            List<WaitingRequest> waiting,
            RouteAnswers answers,
            ReturnSchedule returns,
            OverloadAge overload) {
        this.limit = limit;
        this.shares = shares;
        this.load = load;
        this.waiting = List.copyOf(waiting);
        this.answers = answers;
        this.returns = returns;
        this.overload = overload;
    }

    /**
     * Returns the state of a service that has had no requests.
     *
     * @return a state without a limit
     */
    public static ServiceAdmission empty() {
        return new ServiceAdmission(
                AdaptiveLimit.none(),
                RankShares.empty(),
                OrganisationLoad.empty(),
                List.of(),
                RouteAnswers.EMPTY,
                ReturnSchedule.EMPTY,
                OverloadAge.NONE);
    }

    /**
     * Takes a new request.
     *
     * @param request the request
     * @param now the circumstances of the decision
     * @return the decisions; the request waits if there is none about it
     */
    public RoomStep arrived(RoomRequest request, RoomCircumstances now) {
        OrganisationLoad nextLoad = load.arrived(request.organisation(), now.atMs());
        boolean excess = nextLoad.exceedsUsual(request.organisation(), now.atMs());
        int rank = excess ? RankShares.EXCESS_RANK : request.rank();
        RouteAnswers nextAnswers = answers.arrived(request.work());
        WaitingRequest newest =
                WaitingRequest.of(request, rank, nextAnswers.meanMs(request.route()), nextAnswers.meanWork());
        List<WaitingRequest> all = new ArrayList<>(waiting);
        all.add(newest);
        ServiceAdmission next = new ServiceAdmission(
                limit, shares.arrived(rank, now.atMs()), nextLoad, all, nextAnswers, returns, overload);
        return next.admitOrRevise(newest, now);
    }

    /**
     * Ends an admitted request.
     *
     * @param admitted the verdict that admitted it
     * @param heldMs the milliseconds since then
     * @param now the circumstances of the decision
     * @return the decisions on waiting requests
     */
    public RoomStep left(RoomVerdict admitted, double heldMs, RoomCircumstances now) {
        return with(waiting, shares.left(admitted.rank(), heldMs)).admitWaiting(now);
    }

    /**
     * Admits requests for which room is no longer kept for more urgent ones, and turns away those that have waited for
     * as long as they may.
     *
     * @param now the circumstances of the decision
     * @return the decisions on waiting requests
     */
    public RoomStep timePassed(RoomCircumstances now) {
        RoomStep admitted = admitWaiting(now);
        ServiceAdmission next = admitted.next();
        List<RoomVerdict> verdicts = new ArrayList<>(admitted.verdicts());
        for (WaitingRequest candidate : next.waiting) {
            if (candidate.request().expiresAtMs() <= now.atMs()) {
                next = next.turnAway(candidate, RoomDecision.DISPLACED, RoomReason.EXPIRED, now, verdicts);
            }
        }
        return new RoomStep(next, verdicts);
    }

    /**
     * Removes a waiting request whose caller has left.
     *
     * @param id its id
     * @return the new state
     */
    public ServiceAdmission cancelled(String id) {
        return with(
                waiting.stream()
                        .filter(candidate -> !candidate.request().id().equals(id))
                        .toList(),
                shares);
    }

    /**
     * Records when an admitted request was answered.
     *
     * @param admitted the verdict that admitted it
     * @param answerMs the milliseconds from sending it to its answer or to the first event
     * @param nowMs the time in milliseconds
     * @return the new state
     */
    public ServiceAdmission answered(RoomVerdict admitted, double answerMs, long nowMs) {
        return withTimedAnswer(admitted, answerMs, true, nowMs);
    }

    /**
     * Records that an admitted request was given up without an answer.
     *
     * @param admitted the verdict that admitted it
     * @param heldMs the milliseconds since then
     * @param nowMs the time in milliseconds
     * @return the new state
     */
    public ServiceAdmission givenUp(RoomVerdict admitted, double heldMs, long nowMs) {
        return withTimedAnswer(admitted, heldMs, false, nowMs);
    }

    private ServiceAdmission withTimedAnswer(RoomVerdict admitted, double answerMs, boolean answered, long nowMs) {
        RoomRequest request = admitted.request();
        TimedAnswer answer = new TimedAnswer(request.route(), answerMs, request.objectiveMs(), answered);
        LimitUsage usage = new LimitUsage(
                shares.inFlight(),
                shares.inFlightBefore(admitted.rank()),
                shares.reservedBefore(RankShares.EXCESS_RANK, nowMs));
        return new ServiceAdmission(
                limit.answered(answer, usage, nowMs),
                shares,
                load,
                waiting,
                answers.answered(request.route(), answerMs),
                returns,
                overload);
    }

    /**
     * Returns for how long requests have been turned away.
     *
     * @param nowMs the time in milliseconds
     * @return the age of the overload in milliseconds; 0 without one
     */
    public long overloadMs(long nowMs) {
        return overload.ageMs(nowMs);
    }

    /** Admits the newest request if it goes first in its rank and there is room; others gain none by an arrival. */
    private RoomStep admitOrRevise(WaitingRequest newest, RoomCircumstances now) {
        List<WaitingRequest> ordered = inOrder(now.atMs());
        boolean isFirstOfRank = ordered.stream()
                .filter(candidate -> candidate.rank() == newest.rank())
                .findFirst()
                .filter(newest::equals)
                .isPresent();
        Optional<RoomReason> reason = isFirstOfRank ? roomFor(newest, now) : Optional.empty();
        if (reason.isEmpty()) {
            return revise(newest, ordered, now);
        }
        List<RoomVerdict> verdicts = new ArrayList<>();
        ServiceAdmission next = admit(newest, reason.get(), now, verdicts);
        return new RoomStep(next, verdicts);
    }

    /** Admits waiting requests in order; one that is not admitted blocks the others of its rank. */
    private RoomStep admitWaiting(RoomCircumstances now) {
        ServiceAdmission next = this;
        List<RoomVerdict> verdicts = new ArrayList<>();
        Set<Integer> blockedRanks = new HashSet<>();
        for (WaitingRequest candidate : inOrder(now.atMs())) {
            if (blockedRanks.contains(candidate.rank())) {
                continue;
            }
            Optional<RoomReason> reason = next.roomFor(candidate, now);
            if (reason.isEmpty()) {
                blockedRanks.add(candidate.rank());
                continue;
            }
            next = next.admit(candidate, reason.get(), now, verdicts);
        }
        return new RoomStep(next, verdicts);
    }

    /** Returns why there is room for a request, or empty if there is none. */
    private Optional<RoomReason> roomFor(WaitingRequest request, RoomCircumstances now) {
        if (shares.admits(request.rank(), limit, now.atMs(), now.draw())) {
            return Optional.of(RoomReason.BELOW_LIMIT);
        }
        return isRoomReported(now.room()) ? Optional.of(RoomReason.ROOM_REPORTED) : Optional.empty();
    }

    private ServiceAdmission admit(
            WaitingRequest request, RoomReason reason, RoomCircumstances now, List<RoomVerdict> verdicts) {
        verdicts.add(verdict(request, RoomDecision.ADMITTED, reason, 0, now.atMs()));
        return with(without(waiting, request), shares.admitted(request.rank()));
    }

    /** Turns the newest request away if it would wait for too long, and else those that it delays too much. */
    private RoomStep revise(WaitingRequest newest, List<WaitingRequest> ordered, RoomCircumstances now) {
        List<RoomVerdict> verdicts = new ArrayList<>();
        int newestIndex = ordered.indexOf(newest);
        double waitMs = expectedWaitMs(newest, newestIndex, now.atMs());
        if (waitMs > newest.request().expiresAtMs() - now.atMs()) {
            return refuse(newest, RoomReason.WAIT_TOO_LONG, now, verdicts);
        }
        if (now.atMs() + waitMs + answers.meanMs(newest.request().route())
                > newest.request().deadlineAtMs()) {
            return refuse(newest, RoomReason.DEADLINE_CANNOT_BE_MET, now, verdicts);
        }
        if (newestIndex >= MAX_WAITING) {
            return refuse(newest, RoomReason.PLACES_TAKEN, now, verdicts);
        }
        ServiceAdmission next = this;
        for (int index = newestIndex + 1; index < ordered.size(); index++) {
            WaitingRequest delayed = ordered.get(index);
            double leftMs = delayed.request().expiresAtMs() - now.atMs();
            if (index >= MAX_WAITING) {
                next = next.turnAway(delayed, RoomDecision.DISPLACED, RoomReason.PLACES_TAKEN, now, verdicts);
            } else if (expectedWaitMs(delayed, index, now.atMs()) > DISPLACEMENT_FACTOR * leftMs) {
                next = next.turnAway(delayed, RoomDecision.DISPLACED, RoomReason.WAIT_TOO_LONG, now, verdicts);
            }
        }
        return new RoomStep(next, verdicts);
    }

    private RoomStep refuse(
            WaitingRequest request, RoomReason reason, RoomCircumstances now, List<RoomVerdict> verdicts) {
        ServiceAdmission next = turnAway(request, RoomDecision.REFUSED, reason, now, verdicts);
        return new RoomStep(next, verdicts);
    }

    private ServiceAdmission turnAway(
            WaitingRequest request,
            RoomDecision decision,
            RoomReason reason,
            RoomCircumstances now,
            List<RoomVerdict> verdicts) {
        long nowMs = now.atMs();
        double spacingMs = placeIntervalMs(request, nowMs);
        ReturnSchedule booked = returns.book(nowMs, spacingMs, spacingMs);
        long roomInMs = (long) Math.max(0, booked.bookedUntilMs() - nowMs);
        OverloadAge nextOverload = overload.turnedAway(nowMs);
        verdicts.add(verdict(request, decision, reason, roomInMs, nowMs));
        return new ServiceAdmission(limit, shares, load, without(waiting, request), answers, booked, nextOverload);
    }

    private RoomVerdict verdict(
            WaitingRequest request, RoomDecision decision, RoomReason reason, long roomInMs, long nowMs) {
        return new RoomVerdict(
                request.request(),
                request.rank(),
                decision,
                reason,
                (long) request.latestStartMs() - nowMs,
                roomInMs,
                answers.meanMs(request.request().route()));
    }

    /** Returns the expected milliseconds until a request with a number of others ahead of it starts. */
    private double expectedWaitMs(WaitingRequest request, int ahead, long nowMs) {
        if (shares.inFlight() == 0) {
            // No request will leave and make room.
            return Double.POSITIVE_INFINITY;
        }
        return (ahead + 1) * placeIntervalMs(request, nowMs);
    }

    /** Returns the mean milliseconds between two places that become free for a request. */
    private double placeIntervalMs(WaitingRequest request, long nowMs) {
        double share = request.isLate(nowMs) ? LATE_SHARE : 1;
        int objectiveMs = request.request().objectiveMs();
        return shares.placeIntervalMs(request.rank(), limit.requests(), nowMs, objectiveMs) / share;
    }

    private List<WaitingRequest> inOrder(long nowMs) {
        return waiting.stream().sorted(WaitingRequest.order(nowMs)).toList();
    }

    private ServiceAdmission with(List<WaitingRequest> nextWaiting, RankShares nextShares) {
        return new ServiceAdmission(limit, nextShares, load, nextWaiting, answers, returns, overload);
    }

    private static List<WaitingRequest> without(List<WaitingRequest> requests, WaitingRequest removed) {
        return requests.stream().filter(request -> request != removed).toList();
    }

    /** Tells whether most places of the upstreams are free, as far as their reports can be believed. */
    private static boolean isRoomReported(ServiceRoom room) {
        return room.reportedShare() >= MIN_REPORTED_SHARE
                && room.running() < MAX_USED_SHARE * room.slots()
                && room.waiting() < 1;
    }
}
