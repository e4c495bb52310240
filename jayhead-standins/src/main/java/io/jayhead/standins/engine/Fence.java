package io.jayhead.standins.engine;

import io.jayhead.standins.http.Request;

/**
 * Holds the fencing token of a request and the holder to which the token belongs.
 *
 * @param holder the name of the holder, or empty if the request has none
 * @param number the fencing token; a lower number is older than a higher one of the same holder
 */
record Fence(String holder, long number) {

    Fence {
        if (holder == null) {
            throw new IllegalArgumentException("holder is required");
        }
    }

    static Fence of(Request request) {
        return new Fence(request.header("x-fence-holder").orElse(""), request.headerNumber("x-fence-number", 0));
    }

    boolean hasHolder() {
        return !holder.isEmpty();
    }

    boolean isOlderThan(Fence other) {
        return holder.equals(other.holder) && number < other.number;
    }
}
