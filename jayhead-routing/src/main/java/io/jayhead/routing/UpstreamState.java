package io.jayhead.routing;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the state of one upstream as known to this router; immutable.
 *
 * @param report the last load report; empty if none was received
 * @param reportMeasuredMs the moment that the last report describes: the time of receipt minus the age that it states;
 *     {@link Long#MIN_VALUE} without a report
 * @param inFlight the requests of this router that have not ended, by request id
 * @param firstTokenMs the mean of the observed times to the first token
 * @param outputTokens the mean of the observed output tokens per request
 * @param leavingMarks the sources that mark the upstream as leaving
 * @param silentFailuresMs the times of recent silent failures
 * @param prefixes the prompt prefixes that the upstream has probably cached
 */
public record UpstreamState(
        Optional<LoadReport> report,
        long reportMeasuredMs,
        Map<String, SentRequest> inFlight,
        DecayedMean firstTokenMs,
        DecayedMean outputTokens,
        Set<LeavingSource> leavingMarks,
        List<Long> silentFailuresMs,
        PrefixIndex prefixes) {

    /** The maximum number of recorded failures; further ones add no information. */
    private static final int MAX_SILENT_FAILURES = 16;

    /** Makes defensive copies of the collections. */
    public UpstreamState {
        inFlight = Map.copyOf(inFlight);
        leavingMarks = Set.copyOf(leavingMarks);
        silentFailuresMs = List.copyOf(silentFailuresMs);
    }

    /**
     * Returns the state of an upstream without reports or requests.
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
     * Applies a load report, unless it is older than the last one.
     *
     * @param newReport the report
     * @param receivedMs when the report was received
     * @return the new state
     */
    public UpstreamState withReport(LoadReport newReport, long receivedMs) {
        long newMeasuredMs = receivedMs - newReport.reportAgeMs();
        if (report.isPresent() && newMeasuredMs < reportMeasuredMs) {
            return this;
        }
        return new UpstreamState(
                        Optional.of(newReport),
                        newMeasuredMs,
                        inFlight,
                        firstTokenMs,
                        outputTokens,
                        leavingMarks,
                        silentFailuresMs,
                        prefixes)
                .withLeaving(LeavingSource.REPORT, newReport.draining());
    }

    /**
     * Records that a request was sent.
     *
     * @param requestId the id of the request at the upstream
     * @param request the request
     * @param prefix the digest of the prompt's prefix in hexadecimal; blank for calls of plain services
     * @return the new state
     */
    public UpstreamState withSent(String requestId, SentRequest request, String prefix) {
        PrefixIndex newPrefixes = prefix.isBlank() ? prefixes : prefixes.withSent(prefix, request.sentMs());
        return withInFlight(put(requestId, request)).withPrefixes(newPrefixes);
    }

    /**
     * Records the first token of a request. A further call for the same request has no effect.
     *
     * @param requestId the id of the request at the upstream
     * @param nowMs the current time
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
     * Records the end of a request. A failed request does not change the mean of the output tokens.
     *
     * @param requestId the id of the request at the upstream
     * @param producedTokens the number of output tokens; 0 if the request failed
     * @param nowMs the current time
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
     * Sets or clears the leaving mark of one source.
     *
     * @param source the source
     * @param leaving whether the upstream is leaving according to the source
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
                report, reportMeasuredMs, inFlight, firstTokenMs, outputTokens, marks, silentFailuresMs, prefixes);
    }

    /**
     * Records a silent failure.
     *
     * @param nowMs the current time
     * @return the new state
     */
    public UpstreamState withSilentFailure(long nowMs) {
        List<Long> failures = new ArrayList<>(silentFailuresMs);
        failures.add(nowMs);
        int surplus = Math.max(0, failures.size() - MAX_SILENT_FAILURES);
        return new UpstreamState(
                report,
                reportMeasuredMs,
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
                report,
                reportMeasuredMs,
                inFlight,
                firstTokenMs,
                outputTokens,
                leavingMarks,
                silentFailuresMs,
                newPrefixes);
    }

    /**
     * Tells whether any source marks the upstream as leaving.
     *
     * @return true if there is at least one leaving mark
     */
    public boolean isLeaving() {
        return !leavingMarks.isEmpty();
    }

    /**
     * Returns the age of the figures in the last load report.
     *
     * @param nowMs the current time
     * @return the age in milliseconds, or {@link Long#MAX_VALUE} without a report
     */
    public long ageMs(long nowMs) {
        return report.isPresent() ? Math.max(0, nowMs - reportMeasuredMs) : Long.MAX_VALUE;
    }

    /**
     * Counts the in-flight requests that were sent too late for the last report to include them.
     *
     * @return the number of requests
     */
    public long sentSinceReport() {
        return inFlight.values().stream()
                .filter(request -> request.sentMs() >= reportMeasuredMs)
                .count();
    }

    /**
     * Sums the prompt tokens of in-flight requests that were sent too late for the last report to include them and
     * still wait for their first token.
     *
     * @return the number of tokens
     */
    public long promptTokensSinceReport() {
        return inFlight.values().stream()
                .filter(request -> request.sentMs() >= reportMeasuredMs)
                .filter(request -> !request.firstTokenSeen())
                .mapToLong(SentRequest::promptTokens)
                .sum();
    }

    /**
     * Counts recent silent failures.
     *
     * @param nowMs the current time
     * @param windowMs the time for which a failure is counted
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
                report,
                reportMeasuredMs,
                changed,
                firstTokenMs,
                outputTokens,
                leavingMarks,
                silentFailuresMs,
                prefixes);
    }

    private UpstreamState withObserved(DecayedMean newFirstTokenMs, DecayedMean newOutputTokens) {
        return new UpstreamState(
                report,
                reportMeasuredMs,
                inFlight,
                newFirstTokenMs,
                newOutputTokens,
                leavingMarks,
                silentFailuresMs,
                prefixes);
    }
}
