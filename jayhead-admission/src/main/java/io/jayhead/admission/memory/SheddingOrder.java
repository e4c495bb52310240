package io.jayhead.admission.memory;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Chooses the holding that is given up when the memory account is exceeded.
 *
 * <p>It answers many callers that each stay within their own limits, but together send or leave unread more than the
 * process can hold. A holding that waits for
 * its caller goes before one whose answer is being made, and one above its equal part before smaller ones, so that
 * callers with ordinary requests keep theirs. Among equals the one that holds most for longest goes first.
 */
public final class SheddingOrder {

    /** Smaller holdings are given up only if nothing else is left. */
    private static final long SMALL_BYTES = 64 * 1_024;

    private SheddingOrder() {}

    /**
     * Chooses the next holding to give up.
     *
     * @param <T> the type of the holders
     * @param holders all holders
     * @param holdingOf returns what a holder holds
     * @param account the exceeded account
     * @param nowMs the time of the clock of the holdings, in milliseconds
     * @return the holder to give up; empty if there is none
     */
    public static <T> Optional<T> next(
            Collection<T> holders, Function<T, Holding> holdingOf, MemoryAccount account, long nowMs) {
        long fairBytes = account.fairBytes(holders.size());
        return heaviest(holders, holdingOf, nowMs, holding -> waitsAbove(holding, fairBytes))
                .or(() -> heaviest(holders, holdingOf, nowMs, holding -> waitsAbove(holding, SMALL_BYTES)))
                .or(() -> heaviest(holders, holdingOf, nowMs, holding -> holding.bytes() > SMALL_BYTES))
                .or(() -> heaviest(holders, holdingOf, nowMs, holding -> true));
    }

    private static boolean waitsAbove(Holding holding, long bytes) {
        return holding.phase().waitsForCaller() && holding.bytes() > bytes;
    }

    private static <T> Optional<T> heaviest(
            Collection<T> holders, Function<T, Holding> holdingOf, long nowMs, Predicate<Holding> eligible) {
        return holders.stream()
                .filter(holder -> eligible.test(holdingOf.apply(holder)))
                .max(Comparator.comparingDouble(
                        holder -> holdingOf.apply(holder).byteMs(nowMs)));
    }
}
