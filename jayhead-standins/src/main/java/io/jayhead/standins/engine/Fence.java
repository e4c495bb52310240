package io.jayhead.standins.engine;

import io.jayhead.standins.http.Request;

/**
 * Names the holder of a request and its fencing token.
 *
 * @param holder the holder, empty if the request names none
 * @param number the fencing token, higher for later ones
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
