package io.jayhead.gateway.wire;

/**
 * What an upstream says with an answer about the requests that it takes from now on.
 *
 * @param leaving whether it takes no new requests any more
 * @param pauseMs the milliseconds for which it takes none from this router; 0 without a pause
 */
public record UpstreamNotice(boolean leaving, long pauseMs) {

    /** The notice of an upstream that goes on as before. */
    public static final UpstreamNotice NONE = new UpstreamNotice(false, 0);

    /**
     * Validates the pause.
     *
     * @throws IllegalArgumentException if the pause is negative
     */
    public UpstreamNotice {
        if (pauseMs < 0) {
            throw new IllegalArgumentException("the pause is negative: " + pauseMs);
        }
    }
}
