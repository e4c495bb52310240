package io.jayhead.routing;

import io.jayhead.model.Either;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Chooses the upstream of a request.
 *
 * <p>Upstreams with a fresh load report come first. If no report is fresh, the least stale upstreams are used.
 */
public final class Router {

    private Router() {}

    /**
     * Chooses the upstream of a request.
     *
     * @param state the state of all upstreams as known to this router
     * @param request the request
     * @param nowMs the current time
     * @param randomBits 64 random bits
     * @return the decision, or the refusal if no upstream is eligible
     */
    public static Either<RoutingRefusal, RoutingDecision> choose(
            RoutingState state, RoutingRequest request, long nowMs, long randomBits) {
        ServiceSpec service = state.fleet().services().get(request.service());
        if (service == null) {
            return refuse(ErrorCode.NOT_FOUND, List.of(), "no service " + request.service());
        }
        Readiness readiness = Readiness.of(state.fleet(), state, request.service(), nowMs);
        List<Candidate> candidates = candidates(state, service, request, nowMs);
        if (!readiness.ready()) {
            return refuse(ErrorCode.DEPENDENCY_NOT_READY, candidates, readiness.explanation());
        }
        List<Candidate> eligible =
                candidates.stream().filter(Candidate::isEligible).toList();
        if (eligible.isEmpty()) {
            return refuse(ErrorCode.NO_UPSTREAM, candidates, "no upstream can serve: " + notes(candidates));
        }
        return Either.right(decide(state, request, candidates, eligible, nowMs, randomBits));
    }

    private static RoutingDecision decide(
            RoutingState state,
            RoutingRequest request,
            List<Candidate> candidates,
            List<Candidate> eligible,
            long nowMs,
            long randomBits) {
        long limitMs = state.parameters().freshnessLimitMs();
        List<Candidate> fresh = eligible.stream()
                .filter(candidate -> state.upstream(candidate.upstream()).ageMs(nowMs) <= limitMs)
                .toList();
        if (fresh.isEmpty()) {
            return leastStale(state, candidates, eligible, nowMs, randomBits);
        }
        Optional<Candidate> preferred = fresh.stream()
                .filter(candidate -> request.preferred().equals(Optional.of(candidate.upstream())))
                .findFirst();
        if (preferred.isPresent()) {
            return decision(preferred.get(), candidates, "an earlier attempt ran there");
        }
        RoutingPolicy policy = state.parameters().policy();
        Candidate chosen = policy.select(fresh, state, nowMs, randomBits);
        return decision(chosen, candidates, policy + " among " + fresh.size() + " fresh upstreams");
    }

    private static RoutingDecision leastStale(
            RoutingState state, List<Candidate> candidates, List<Candidate> eligible, long nowMs, long randomBits) {
        long leastAgeMs = eligible.stream()
                .mapToLong(candidate -> state.upstream(candidate.upstream()).ageMs(nowMs))
                .min()
                .orElseThrow();
        List<Candidate> leastStale = eligible.stream()
                .filter(candidate -> state.upstream(candidate.upstream()).ageMs(nowMs) == leastAgeMs)
                .toList();
        Candidate chosen = state.parameters().policy().select(leastStale, state, nowMs, randomBits);
        String age = leastAgeMs == Long.MAX_VALUE ? "no report" : "report " + leastAgeMs + " ms old";
        return decision(chosen, candidates, "no upstream is fresh; the least stale has " + age);
    }

    private static List<Candidate> candidates(
            RoutingState state, ServiceSpec service, RoutingRequest request, long nowMs) {
        List<ModelSpec> models = LoadedModels.required(state.fleet(), service);
        return service.upstreams().stream()
                .map(name -> candidate(state, models, request, name, nowMs))
                .toList();
    }

    private static Candidate candidate(
            RoutingState state, List<ModelSpec> models, RoutingRequest request, UpstreamName name, long nowMs) {
        UpstreamSpec spec = state.fleet().upstreams().get(name);
        if (spec == null) {
            return Candidate.ineligible(name, false, "not in the fleet");
        }
        UpstreamState upstream = state.upstream(name);
        boolean sameZone = spec.availabilityZone().equals(request.zone());
        if (upstream.isLeaving()) {
            return Candidate.ineligible(name, sameZone, "leaving: " + sources(upstream));
        }
        if (request.excluded().contains(name)) {
            return Candidate.ineligible(name, sameZone, "excluded by an earlier attempt");
        }
        Optional<String> missing = LoadedModels.missing(models, upstream);
        if (missing.isPresent()) {
            return Candidate.ineligible(name, sameZone, missing.get());
        }
        double estimateMs = FirstTokenEstimate.of(upstream, state.parameters(), request, sameZone, nowMs);
        double likelihood = upstream.prefixes().likelihood(request.prefix(), nowMs);
        return new Candidate(name, estimateMs, likelihood, sameZone, eligibleNote(state, upstream, nowMs));
    }

    private static String eligibleNote(RoutingState state, UpstreamState upstream, long nowMs) {
        if (upstream.ageMs(nowMs) > state.parameters().freshnessLimitMs()) {
            return "stale";
        }
        long failures = upstream.silentFailures(nowMs, state.parameters().silentFailureWindowMs());
        return failures > 0 ? failures + " recent silent failures" : "";
    }

    private static String sources(UpstreamState upstream) {
        return upstream.leavingMarks().stream()
                .sorted()
                .map(LeavingSource::label)
                .collect(Collectors.joining(", "));
    }

    private static String notes(List<Candidate> candidates) {
        return candidates.stream()
                .map(candidate -> candidate.upstream() + " (" + candidate.note() + ")")
                .collect(Collectors.joining(", "));
    }

    private static RoutingDecision decision(Candidate chosen, List<Candidate> candidates, String reason) {
        return new RoutingDecision(chosen.upstream(), candidates, reason);
    }

    private static Either<RoutingRefusal, RoutingDecision> refuse(
            ErrorCode code, List<Candidate> candidates, String reason) {
        return Either.left(new RoutingRefusal(code, candidates, reason));
    }
}
