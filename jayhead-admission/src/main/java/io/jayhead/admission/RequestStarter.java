package io.jayhead.admission;

import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.queue.Dequeued;
import io.jayhead.admission.queue.QueueRefusal;
import io.jayhead.admission.queue.QueuedRequest;
import io.jayhead.model.ErrorCode;
import java.util.Optional;

/**
 * Queues arriving requests, starts each once the limits and tokens allow it, and refuses those that waited too long.
 */
final class RequestStarter {

    private RequestStarter() {}

    static Step arrive(Step step, AdmissionRequest request) {
        AdmissionState state = step.state();
        if (state.waiting().get(request.id()).isPresent()
                || state.running().get(request.id()).isPresent()) {
            return step;
        }
        if (state.draining()) {
            return step.refuse(request, ErrorCode.SHUTTING_DOWN, "the router is shutting down");
        }
        if (!state.fresh()) {
            return step.refuse(request, ErrorCode.CONFIGURATION_STALE, "the configuration is not confirmed");
        }
        if (request.worstCaseTokens() > 0
                && state.book().account(request.budget()).reclaimed()) {
            return step.refuse(request, ErrorCode.SHUTTING_DOWN, "the grant of this router was reclaimed");
        }
        return enqueue(step, request);
    }

    /**
     * Starts waiting requests while the limits of requests in flight and the tokens allow it, then requests the tokens
     * that the requests still waiting lack.
     */
    static Step startWaiting(Step step) {
        Step next = step;
        Optional<Dequeued> dequeued = dequeue(next.state());
        while (dequeued.isPresent()) {
            next = start(next, dequeued.get());
            dequeued = dequeue(next.state());
        }
        return TokenRequester.requestForWaiting(next);
    }

    static Step expire(Step step) {
        Step next = step;
        for (QueuedRequest expired : step.state().queue().expired(step.nowMs())) {
            AdmissionRequest request = step.state().waiting().get(expired.id()).orElseThrow();
            ErrorCode code = expiryCode(step.state(), request, step.nowMs());
            next = next.refuse(request, code, "the request could not start within its time limit");
        }
        return next;
    }

    private static Step enqueue(Step step, AdmissionRequest request) {
        BudgetDemand demand = step.state()
                .demand(request.budget(), step.nowMs())
                .withObservedDemand(request.worstCaseTokens(), step.nowMs());
        AdmissionState state = step.state().withDemand(request.budget(), demand);
        QueuedRequest queued = queued(request);
        return state.queue()
                .offer(queued, step.nowMs(), estimatedWaitMs(state, queued))
                .fold(
                        refusal -> step.refuse(request, ErrorCode.OVERLOADED, describe(refusal)),
                        queue -> startWaiting(step.with(state.withWaiting(queue, request))));
    }

    private static QueuedRequest queued(AdmissionRequest request) {
        boolean needsNoTokens = request.worstCaseTokens() == 0;
        return new QueuedRequest(
                request.id(),
                request.organisation(),
                needsNoTokens
                        ? "free/" + request.organisation()
                        : request.budget().objectName(),
                request.priority(),
                request.worstCaseTokens(),
                request.maxInFlight(),
                request.startBeforeMs());
    }

    /**
     * Estimates the wait until the limits of requests in flight allow the start. Leaves out the wait for tokens, which
     * cannot be predicted.
     */
    private static long estimatedWaitMs(AdmissionState state, QueuedRequest request) {
        double serviceTimesInRouter = 0;
        double serviceTimesInOrganisation = 0;
        if (state.inFlight() >= state.settings().maxInFlight()) {
            serviceTimesInRouter =
                    (state.queue().ahead(request) + 1.0) / state.settings().maxInFlight();
        }
        if (state.inFlight(request.organisation()) >= request.weight()) {
            serviceTimesInOrganisation = (state.queue().size(request.organisation()) + 1.0) / request.weight();
        }
        return (long) (Math.max(serviceTimesInRouter, serviceTimesInOrganisation) * state.meanServiceMs());
    }

    private static Optional<Dequeued> dequeue(AdmissionState state) {
        if (!state.fresh() || state.inFlight() >= state.settings().maxInFlight()) {
            return Optional.empty();
        }
        return state.queue().next(queued -> mayStart(state, queued));
    }

    private static boolean mayStart(AdmissionState state, QueuedRequest queued) {
        AdmissionRequest request = state.waiting().get(queued.id()).orElseThrow();
        if (state.inFlight(request.organisation()) >= request.maxInFlight()) {
            return false;
        }
        GrantAccount account = state.book().account(request.budget());
        return request.worstCaseTokens() == 0 || request.worstCaseTokens() <= account.availableTokens();
    }

    private static Step start(Step step, Dequeued dequeued) {
        String id = dequeued.request().id();
        AdmissionState state = step.state();
        AdmissionRequest request = state.waiting().get(id).orElseThrow();
        AdmissionState reserved = request.worstCaseTokens() == 0
                ? state
                : state.withBook(state.book()
                        .reserve(request.budget(), id, request.worstCaseTokens())
                        .get());
        AdmissionState started =
                reserved.withQueue(dequeued.queue()).withoutWaiting(id).started(request, step.nowMs());
        Step next = step.with(started).emit(new AdmissionCommand.Start(id));
        return request.worstCaseTokens() == 0 ? next : TokenRequester.requestAhead(next, request.budget());
    }

    private static ErrorCode expiryCode(AdmissionState state, AdmissionRequest request, long nowMs) {
        if (!state.fresh()) {
            return ErrorCode.CONFIGURATION_STALE;
        }
        GrantAccount account = state.book().account(request.budget());
        if (request.worstCaseTokens() <= account.availableTokens()) {
            return ErrorCode.OVERLOADED;
        }
        return switch (state.demand(request.budget(), nowMs).platformAnswer()) {
            case UNAVAILABLE -> ErrorCode.PLATFORM_UNAVAILABLE;
            case REFUSED -> ErrorCode.BUDGET_EXHAUSTED;
            // The last answer was a grant, or no answer came in time, so the budget is not known to be exhausted.
            case GRANTED -> ErrorCode.OVERLOADED;
        };
    }

    private static String describe(QueueRefusal refusal) {
        return switch (refusal) {
            case ORGANISATION_FULL -> "too many requests of the organisation are waiting";
            case QUEUE_FULL -> "too many requests are waiting";
            case DEADLINE_CANNOT_BE_MET -> "the estimated wait exceeds the time limit";
        };
    }
}
