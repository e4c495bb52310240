package io.jayhead.standins.engine;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Records one change of the prefix cache.
 *
 * @param sequence its number, from 1, without holes at the source
 * @param operation {@code stored} or {@code evicted}
 * @param prefix the prefix's key in hexadecimal
 * @param visibleAtMs when readers may see it
 */
public record CacheEvent(
        long sequence,
        String operation,
        String prefix,
        @JsonIgnore long visibleAtMs) {}
