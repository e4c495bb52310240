package io.jayhead.gateway.upstream;

import io.jayhead.routing.placement.Candidate;
import io.jayhead.routing.registry.Upstream;

/** One incarnation of an upstream as this router sees it; used by the traffic thread. */
public final class UpstreamHandle {

    /** The severity of a failure that the upstream itself reports; the service may mean it as an answer. */
    private static final double REPORTED_FAILURE = 0.4;
    /** The severity of a rejected request; the upstream works, but is full. */
    private static final double REJECTION = 0.3;

    private final UpstreamLoad load = new UpstreamLoad();
    private final UpstreamConnectionPool pool;
    private final boolean sameZone;
    private Upstream upstream;

    UpstreamHandle(Upstream upstream, UpstreamConnectionPool pool, boolean sameZone) {
        this.upstream = upstream;
        this.pool = pool;
        this.sameZone = sameZone;
    }

    /**
     * Returns the upstream.
     *
     * @return the newest entry of the registry
     */
    public Upstream upstream() {
        return upstream;
    }

    /**
     * Takes a connection for one request.
     *
     * @param maxConnections the connections that this router may open
     * @param listener receives the connection
     */
    public void acquire(int maxConnections, AttemptListener listener) {
        pool.acquire(maxConnections, listener);
    }

    /**
     * Counts a request that is being sent.
     *
     * @param tokensToRead the prompt tokens that the upstream has to read
     */
    public void started(long tokensToRead) {
        load.started(tokensToRead);
    }

    /**
     * Counts a prompt that has been read.
     *
     * @param tokensToRead the prompt tokens of the request
     */
    public void promptRead(long tokensToRead) {
        load.promptRead(tokensToRead);
    }

    /** Counts a request that has ended. */
    public void ended() {
        load.ended();
    }

    /**
     * Records an answer.
     *
     * @param answerMs the time until its first byte
     */
    public void answered(double answerMs) {
        load.answered(answerMs, System.nanoTime());
    }

    /**
     * Estimates the time to the first event of the request that was started last.
     *
     * @return the time in milliseconds at an engine of normal speed
     */
    public double expectedFirstEventMs() {
        return load.expectedFirstEventMs();
    }

    /**
     * Records the first event of a generation.
     *
     * @param measuredMs the time from the sending of the request
     * @param expectedMs the time that was expected then
     */
    public void firstEvent(double measuredMs, double expectedMs) {
        load.firstEvent(measuredMs, expectedMs, System.nanoTime());
    }

    /** Records a failure that the upstream reported. */
    public void reportedFailure() {
        load.failed(REPORTED_FAILURE, System.nanoTime());
    }

    /** Records a request that the upstream did not accept. */
    public void rejected() {
        load.failed(REJECTION, System.nanoTime());
    }

    /** Records a broken or missing answer. */
    public void answerBroken() {
        load.failed(1, System.nanoTime());
    }

    /** Records that no connection could be made. */
    public void unreachable() {
        load.unreachable(System.nanoTime());
        pool.closeIdle();
    }

    /**
     * Records the load that the upstream reports.
     *
     * @param requests its running and waiting requests
     */
    public void loadReported(int requests) {
        load.loadReported(requests, System.nanoTime());
    }

    Candidate candidate(long nowNs) {
        return load.candidate(upstream, sameZone, nowNs);
    }

    UpstreamConnectionPool pool() {
        return pool;
    }

    void update(Upstream newest) {
        upstream = newest;
    }

    boolean isIdle() {
        return load.inFlight() == 0 && pool.openConnections() == 0;
    }
}
