package io.jayhead.gateway.exchange;

/** Tracks the planned stop of a router and counts its open requests; used by the traffic thread. */
public final class DrainState {

    private boolean draining;
    private boolean refusingStreams;
    private boolean refusing;
    private int openRequests;

    /** Starts to drain: from now on, connections are closed after their answer. */
    public void drain() {
        draining = true;
    }

    /** Refuses new streams from now on, since they may last longer than the rest of the planned stop. */
    public void refuseStreams() {
        refusingStreams = true;
    }

    /** Refuses new requests from now on. */
    public void refuse() {
        refusing = true;
    }

    /**
     * Tells whether the router is being stopped.
     *
     * @return true after {@link #drain()}
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Tells whether new streams are refused.
     *
     * @return true after {@link #refuseStreams()}
     */
    public boolean isRefusingStreams() {
        return refusingStreams;
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
