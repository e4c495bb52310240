package io.jayhead.gateway.upstream;

import io.jayhead.gateway.upstream.RoomEstimate.UpstreamRoom;
import io.jayhead.routing.placement.ExpectedWork;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.registry.Upstream;

/**
 * Combines the registry entry, the connections and the load of one incarnation of an upstream; used by the traffic
 * thread.
 */
public final class UpstreamHandle {

    /**
     * The severity of a failure that the upstream itself reports; it is below 1 because the service may intend it as an
     * answer.
     */
    private static final double REPORTED_FAILURE_SEVERITY = 0.4;
    /** The severity of a rejected request; it is low because the upstream works, but is full. */
    private static final double REJECTION_SEVERITY = 0.3;

    private final UpstreamLoad load;
    private final UpstreamConnectionPool pool;
    private final boolean sameZone;
    private Upstream upstream;

    UpstreamHandle(Upstream upstream, UpstreamConnectionPool pool, boolean sameZone, ServiceObservations observations) {
        this.upstream = upstream;
        this.load = new UpstreamLoad(observations);
        this.pool = pool;
        this.sameZone = sameZone;
    }

    /**
     * Returns the registry entry of the upstream.
     *
     * @return the newest entry
     */
    public Upstream upstream() {
        return upstream;
    }

    /**
     * Takes an idle connection or opens a new one for a request.
     *
     * @param maxConnections the most connections that this router may have open to this upstream
     * @param listener receives the connection, possibly before this method returns, or its failure
     */
    public void acquire(int maxConnections, AttemptListener listener) {
        pool.acquire(maxConnections, listener);
    }

    /**
     * Opens a connection to find out whether the upstream still accepts any; calls meanwhile share it.
     *
     * @param action runs if the upstream accepts no connection
     */
    public void ifNotListening(Runnable action) {
        pool.ifNotListening(action);
    }

    /**
     * Counts a request that is being sent.
     *
     * @param tokensToRead the prompt tokens that the upstream has to process before its first event
     * @param memoryTokens the tokens that the request takes at most in the memory of the upstream
     */
    public void started(long tokensToRead, long memoryTokens) {
        load.started(tokensToRead, memoryTokens, System.nanoTime());
    }

    /**
     * Counts a prompt that the upstream has processed, or whose request has ended.
     *
     * @param tokensToRead the prompt tokens that were counted when the request was started
     */
    public void promptRead(long tokensToRead) {
        load.promptRead(tokensToRead);
    }

    /**
     * Counts a request that has ended.
     *
     * @param memoryTokens the tokens that were counted when the request was started
     */
    public void ended(long memoryTokens) {
        load.ended(memoryTokens);
    }

    /**
     * Records an answer to a call that is no stream.
     *
     * @param answerMs the time in milliseconds from sending the request to the end of the answer
     */
    public void answered(double answerMs) {
        load.answered(answerMs, System.nanoTime());
    }

    /**
     * Records the end of a stream that was answered in full.
     *
     * @param streamMs the time in milliseconds from sending the request to the end of the answer
     */
    public void streamEnded(double streamMs) {
        load.streamEnded(streamMs, System.nanoTime());
    }

    /**
     * Returns the work at the upstream, including a request that has just been started there.
     *
     * @return the work, with the expected time to the first event
     */
    public ExpectedWork expectedWork() {
        return load.expectedWork(upstream, System.nanoTime());
    }

    /**
     * Records the first event of a stream.
     *
     * @param measuredMs the time in milliseconds from sending the request to the first event
     * @param work the work at the upstream when the request was sent
     */
    public void firstEvent(double measuredMs, ExpectedWork work) {
        load.firstEvent(measuredMs, work, System.nanoTime());
    }

    /** Records a failure that the upstream reported. */
    public void reportedFailure() {
        load.failed(REPORTED_FAILURE_SEVERITY, System.nanoTime());
    }

    /** Records a request that the upstream did not accept. */
    public void rejected() {
        load.failed(REJECTION_SEVERITY, System.nanoTime());
    }

    /** Records an answer that was broken, missing or invalid. */
    public void answerBroken() {
        load.failed(1, System.nanoTime());
    }

    /** Records that no connection could be opened, and closes idle connections. */
    public void unreachable() {
        load.unreachable(System.nanoTime());
        pool.closeIdle();
    }

    /**
     * Records the load that the upstream reports with an answer, also with one that rejects the request.
     *
     * @param reported the load; ignored if it has no figures
     */
    public void loadReported(ReportedLoad reported) {
        load.loadReported(reported, System.nanoTime());
    }

    PlacementCandidate candidate(long nowNs) {
        return load.candidate(upstream, sameZone, nowNs);
    }

    UpstreamRoom room(long nowNs) {
        return load.room(upstream, nowNs);
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
