package io.jayhead.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Records one change of the prefix cache.
 *
 * @param sequence its number, counted from 1 without gaps, so that a gap tells readers of a lost event
 * @param operation {@code stored} or {@code evicted}
 * @param prefix the digest of the prefix in hexadecimal, see {@link SyntheticText#prefixKey}
 * @param visibleAtMs the monotonic time in milliseconds from which readers see the event
 */
public record CacheEvent(
        long sequence,
        String operation,
        String prefix,
        @JsonIgnore long visibleAtMs) {}
