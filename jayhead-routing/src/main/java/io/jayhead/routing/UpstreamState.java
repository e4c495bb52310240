package io.jayhead.routing;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds what this router knows about one upstream.
 *
 * @param report the last report, if any
 * @param describedMs the moment that the last report describes
 * @param inFlight the requests of this router that have not ended, by request id
 * @param firstTokenMs the observed time to the first token
 * @param outputTokens the observed output tokens of a request
 * @param leavingMarks the sources that say that the upstream is leaving
 * @param silentFailuresMs the times of recent silent failures
 * @param prefixes the prefixes that the upstream probably holds
 */
public record UpstreamState(
        Optional<LoadReport> report,
        long describedMs,
        Map<String, SentRequest> inFlight,
        DecayedMean firstTokenMs,
        DecayedMean outputTokens,
        Set<LeavingSource> leavingMarks,
        List<Long> silentFailuresMs,
        PrefixIndex prefixes) {

    /** More failures than this add no information. */
    private static final int MAX_SILENT_FAILURES = 16;

    /** Copies the collections. */
    public UpstreamState {
        inFlight = Map.copyOf(inFlight);
        leavingMarks = Set.copyOf(leavingMarks);
        silentFailuresMs = List.copyOf(silentFailuresMs);
    }

    /**
     * Returns the state of an upstream of which nothing is known.
     *
     * @return the empty state
     */
    public static UpstreamState empty() {
        return new UpstreamState(
                Optional.empty(),
                Long.MIN_VALUE,
                Map.of(),
                DecayedMean.empty(),
                DecayedMean.empty(),
                Set.of(),
                List.of(),
                PrefixIndex.empty());
    }

    /**
     * Takes a report over unless a newer one is known.
     *
     * @param newReport the report
     * @param receivedMs when it was received
     * @return the new state
     */
    public UpstreamState withReport(LoadReport newReport, long receivedMs) {
        long newDescribedMs = receivedMs - newReport.reportAgeMs();
        if (report.isPresent() && newDescribedMs < describedMs) {
            return this;
        }
        return new UpstreamState(
                        Optional.of(newReport),
                        newDescribedMs,
                        inFlight,
                        firstTokenMs,
                        outputTokens,
                        leavingMarks,
                        silentFailuresMs,
                        prefixes)
                .withLeaving(LeavingSource.REPORT, newReport.draining());
    }

    /**
     * Notes a request that was sent.
     *
     * @param requestId the id of the request at the upstream
     * @param request the request
     * @param prefix the digest of the prompt's prefix in hexadecimal; blank for none
     * @return the new state
     */
    public UpstreamState withSent(String requestId, SentRequest request, String prefix) {
        PrefixIndex newPrefixes = prefix.isBlank() ? prefixes : prefixes.withSent(prefix, request.sentMs());
        return withInFlight(put(requestId, request)).withPrefixes(newPrefixes);
    }

    /**
     * Notes the first token of a request.
     *
     * @param requestId the id of the request at the upstream
     * @param nowMs the time
     * @param halfLifeMs the half-life of observations
     * @return the new state
     */
    public UpstreamState withFirstToken(String requestId, long nowMs, long halfLifeMs) {
        SentRequest request = inFlight.get(requestId);
        if (request == null || request.firstTokenSeen()) {
            return this;
        }
        DecayedMean observed = firstTokenMs.with(nowMs - request.sentMs(), nowMs, halfLifeMs);
        return withInFlight(put(requestId, request.withFirstToken())).withObserved(observed, outputTokens);
    }

    /**
     * Notes the end of a request.
     *
     * @param requestId the id of the request at the upstream
     * @param producedTokens the output tokens; 0 if it failed
     * @param nowMs the time
     * @param halfLifeMs the half-life of observations
     * @return the new state
     */
    public UpstreamState withFinished(String requestId, long producedTokens, long nowMs, long halfLifeMs) {
        Map<String, SentRequest> rest = new HashMap<>(inFlight);
        rest.remove(requestId);
        DecayedMean observed = producedTokens > 0 ? outputTokens.with(producedTokens, nowMs, halfLifeMs) : outputTokens;
        return withInFlight(rest).withObserved(firstTokenMs, observed);
    }

    /**
     * Sets or clears the mark of one source.
     *
     * @param source the source
     * @param leaving whether the source says that the upstream is leaving
     * @return the new state
     */
    public UpstreamState withLeaving(LeavingSource source, boolean leaving) {
        if (leavingMarks.contains(source) == leaving) {
            return this;
        }
        Set<LeavingSource> marks = EnumSet.noneOf(LeavingSource.class);
        marks.addAll(leavingMarks);
        if (leaving) {
            marks.add(source);
        } else {
            marks.remove(source);
        }
        return new UpstreamState(
                report, describedMs, inFlight, firstTokenMs, outputTokens, marks, silentFailuresMs, prefixes);
    }

    /**
     * Notes a silent failure.
     *
     * @param nowMs the time
     * @return the new state
     */
    public UpstreamState withSilentFailure(long nowMs) {
        List<Long> failures = new ArrayList<>(silentFailuresMs);
        failures.add(nowMs);
        int surplus = Math.max(0, failures.size() - MAX_SILENT_FAILURES);
        return new UpstreamState(
                report,
                describedMs,
                inFlight,
                firstTokenMs,
                outputTokens,
                leavingMarks,
                failures.subList(surplus, failures.size()),
                prefixes);
    }

    /**
     * Replaces the prefix index.
     *
     * @param newPrefixes the index
     * @return the new state
     */
    public UpstreamState withPrefixes(PrefixIndex newPrefixes) {
        return new UpstreamState(
                report, describedMs, inFlight, firstTokenMs, outputTokens, leavingMarks, silentFailuresMs, newPrefixes);
    }

    /**
     * Tells whether any source says that the upstream is leaving.
     *
     * @return true if there is a mark
     */
    public boolean isLeaving() {
        return !leavingMarks.isEmpty();
    }

    /**
     * Returns the age of what is known.
     *
     * @param nowMs the time
     * @return milliseconds, or {@link Long#MAX_VALUE} without a report
     */
    public long ageMs(long nowMs) {
        return report.isPresent() ? Math.max(0, nowMs - describedMs) : Long.MAX_VALUE;
    }

    /**
     * Counts the requests in flight that the last report cannot include.
     *
     * @return the number of requests
     */
    public long sentSinceReport() {
        return inFlight.values().stream()
                .filter(request -> request.sentMs() >= describedMs)
                .count();
    }

    /**
     * Sums the prompt tokens in flight that the last report cannot include and that still wait for a first token.
     *
     * @return the tokens
     */
    public long promptTokensSinceReport() {
        return inFlight.values().stream()
                .filter(request -> request.sentMs() >= describedMs)
                .filter(request -> !request.firstTokenSeen())
                .mapToLong(SentRequest::promptTokens)
                .sum();
    }

    /**
     * Counts recent silent failures.
     *
     * @param nowMs the time
     * @param windowMs how long a failure counts
     * @return the number of failures
     */
    public long silentFailures(long nowMs, long windowMs) {
        return silentFailuresMs.stream()
                .filter(failureMs -> nowMs - failureMs < windowMs)
                .count();
    }

    private Map<String, SentRequest> put(String requestId, SentRequest request) {
        Map<String, SentRequest> changed = new HashMap<>(inFlight);
        changed.put(requestId, request);
        return changed;
    }

    private UpstreamState withInFlight(Map<String, SentRequest> changed) {
        return new UpstreamState(
                report, describedMs, changed, firstTokenMs, outputTokens, leavingMarks, silentFailuresMs, prefixes);
    }

    private UpstreamState withObserved(DecayedMean newFirstTokenMs, DecayedMean newOutputTokens) {
        return new UpstreamState(
                report,
                describedMs,
                inFlight,
                newFirstTokenMs,
                newOutputTokens,
                leavingMarks,
                silentFailuresMs,
                prefixes);
    }
}
