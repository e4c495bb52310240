package io.jayhead.gateway.exchange;

/** Tracks the planned stop of a router and counts its open requests; used by the traffic thread. */
public final class DrainState {

    private boolean draining;
    private boolean refusingLong;
    private boolean refusing;
    private long endNs;
    private int openRequests;

    /**
     * Starts to drain: from now on, connections are closed after their answer.
     *
     * @param stopNs the time of {@link System#nanoTime()} at which requests that are still open are ended
     */
    public void drain(long stopNs) {
        draining = true;
        endNs = stopNs;
    }

    /** Refuses new requests from now on that may last longer than the rest of the planned stop. */
    public void refuseLong() {
        refusingLong = true;
    }

    /** Refuses new requests from now on. */
    public void refuse() {
        refusing = true;
    }

    /**
     * Tells whether the router is being stopped.
     *
     * @return true after {@link #drain(long)}
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Tells whether the last part of a planned stop has begun.
     *
     * @return true after {@link #refuseLong()}
     */
    public boolean isRefusingLong() {
        return refusingLong;
    }

    /**
     * Tells whether a request that arrives now is refused because it may outlast the planned stop. Streams always may.
     *
     * @param streaming whether the answer is a stream
     * @param limitMs the time in milliseconds in which a call has a sound answer
     * @return true if it is refused
     */
    boolean refuses(boolean streaming, long limitMs) {
        return refusingLong && (streaming || limitMs > leftMs());
    }

    /**
     * Returns the time that open requests have to end in a planned stop.
     *
     * @return the milliseconds; negative once it has passed
     */
    public long leftMs() {
        return (endNs - System.nanoTime()) / 1_000_000;
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true after {@link #refuse()}
     */
    public boolean isRefusing() {
        return refusing;
    }

    /**
     * Returns the number of open requests.
     *
     * @return the requests that have no final answer yet
     */
    public int openRequests() {
        return openRequests;
    }

    /** Counts a request that has arrived. */
    public void opened() {
        openRequests++;
    }

    /** Counts a request that has ended. */
    public void closed() {
        openRequests--;
    }
}
