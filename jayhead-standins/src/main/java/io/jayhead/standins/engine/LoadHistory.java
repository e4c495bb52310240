package io.jayhead.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Holds recent load samples and selects the one that a lagging load report shows. */
final class LoadHistory {

    private static final long RATE_WINDOW_MS = 1000;
    private static final double MS_PER_SECOND = 1000.0;

    private final long lagMs;
    private final Deque<LoadSample> samples = new ArrayDeque<>();

    LoadHistory(long lagMs) {
        this.lagMs = lagMs;
    }

    void add(LoadSample sample) {
        samples.addLast(sample);
        while (samples.getFirst().atMs() < sample.atMs() - 2 * (lagMs + RATE_WINDOW_MS)) {
            samples.removeFirst();
        }
    }

    /** Returns the newest sample that is at least as old as the lag, or the oldest sample if all are newer. */
    LoadSample visible(long nowMs) {
        Iterator<LoadSample> newestFirst = samples.descendingIterator();
        while (newestFirst.hasNext()) {
            LoadSample sample = newestFirst.next();
            if (sample.atMs() <= nowMs - lagMs) {
                return sample;
            }
        }
        return samples.getFirst();
    }

    /** Returns the output token rate over the second before a sample, or 0 if no other sample is in that second. */
    double tokensPerSecond(LoadSample sample) {
        LoadSample windowStart = samples.stream()
                .filter(candidate -> candidate.atMs() >= sample.atMs() - RATE_WINDOW_MS)
                .findFirst()
                .orElse(sample);
        long elapsedMs = sample.atMs() - windowStart.atMs();
        return elapsedMs <= 0
                ? 0
                : (sample.producedTokens() - windowStart.producedTokens()) * MS_PER_SECOND / elapsedMs;
    }
}
