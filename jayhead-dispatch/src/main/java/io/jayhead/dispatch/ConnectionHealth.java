package io.jayhead.dispatch;

import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides when to drop the connections to an upstream and when to mark it as down, based on silent failures; immutable.
 *
 * <p>Open connections can become silent permanently while new connections work. Therefore all pooled connections are
 * dropped at the first silent failure. Later failures of requests that were sent before the drop are ignored, because
 * they say nothing about the new connections.
 *
 * @param upstreams the recorded failures of each upstream that ever failed silently
 */
public record ConnectionHealth(Map<UpstreamName, Failures> upstreams) {

    /**
     * The number of successive silent pools after which an upstream is marked as down; a single one must not suffice.
     */
    public static final int FAILURES_UNTIL_DOWN = 3;

    /**
     * Counts the silent failures of an upstream.
     *
     * @param droppedMs when the connection pool was last dropped
     * @param pools the number of successive pools that became silent without progress in between
     */
    public record Failures(long droppedMs, int pools) {}

    /** Makes a defensive copy of the map. */
    public ConnectionHealth {
        upstreams = Map.copyOf(upstreams);
    }

    /**
     * Returns the state without failures.
     *
     * @return the empty state
     */
    public static ConnectionHealth empty() {
        return new ConnectionHealth(Map.of());
    }

    /**
     * Records a silent failure.
     *
     * @param upstream the upstream
     * @param sentMs when the silent request was sent
     * @param nowMs the current time
     * @return the next state and the commands
     */
    public Transition<ConnectionHealth, ConnectionCommand> withSilentFailure(
            UpstreamName upstream, long sentMs, long nowMs) {
        Optional<Failures> previous = Optional.ofNullable(upstreams.get(upstream));
        if (previous.isPresent() && sentMs <= previous.get().droppedMs()) {
            return Transition.of(this);
        }
        int pools = previous.map(Failures::pools).orElse(0) + 1;
        Map<UpstreamName, Failures> changed = new HashMap<>(upstreams);
        changed.put(upstream, new Failures(nowMs, pools));
        ConnectionCommand drop = new ConnectionCommand.DropPool(upstream);
        List<ConnectionCommand> commands =
                pools == FAILURES_UNTIL_DOWN ? List.of(drop, new ConnectionCommand.MarkDown(upstream)) : List.of(drop);
        return new Transition<>(new ConnectionHealth(changed), commands);
    }

    /**
     * Records that a request made progress.
     *
     * @param upstream the upstream
     * @param sentMs when the request was sent
     * @return the next state and the commands
     */
    public Transition<ConnectionHealth, ConnectionCommand> withProgress(UpstreamName upstream, long sentMs) {
        Failures failures = upstreams.get(upstream);
        if (failures == null || sentMs <= failures.droppedMs()) {
            return Transition.of(this);
        }
        Map<UpstreamName, Failures> changed = new HashMap<>(upstreams);
        // Keeps the time of the drop, so that late failures of the old pool do not drop the new one.
        changed.put(upstream, new Failures(failures.droppedMs(), 0));
        ConnectionHealth next = new ConnectionHealth(changed);
        return isDown(upstream) ? Transition.of(next, new ConnectionCommand.MarkUp(upstream)) : Transition.of(next);
    }

    /**
     * Tells whether an upstream is marked as down.
     *
     * @param upstream the upstream
     * @return true after {@link #FAILURES_UNTIL_DOWN} successive pools became silent
     */
    public boolean isDown(UpstreamName upstream) {
        Failures failures = upstreams.get(upstream);
        return failures != null && failures.pools() >= FAILURES_UNTIL_DOWN;
    }
}
