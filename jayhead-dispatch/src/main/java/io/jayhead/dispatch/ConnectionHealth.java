package io.jayhead.dispatch;

import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from silent failures when to drop the connections of an upstream and when to mark it as down.
 *
 * <p>Open connections can go silent for good while new ones work. All pooled connections are dropped at the first
 * silent failure; failures of requests sent before that drop say nothing about the new connections.
 *
 * @param upstreams what is known of upstreams that failed since their last progress
 */
public record ConnectionHealth(Map<UpstreamName, Failures> upstreams) {

    /** Failures on connections of different pools that mark an upstream as down; one must not. */
    public static final int FAILURES_UNTIL_DOWN = 3;

    /**
     * Counts the silent failures of an upstream.
     *
     * @param droppedMs when its pool was last dropped
     * @param pools the number of pools that went silent without progress in between
     */
    public record Failures(long droppedMs, int pools) {}

    /** Copies the map. */
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
     * Notes a silent failure.
     *
     * @param upstream the upstream
     * @param sentMs when the request that went silent was sent
     * @param nowMs the time
     * @return the next state and the commands
     */
    public Transition<ConnectionHealth, ConnectionCommand> withSilentFailure(
            UpstreamName upstream, long sentMs, long nowMs) {
        Optional<Failures> known = Optional.ofNullable(upstreams.get(upstream));
        if (known.isPresent() && sentMs <= known.get().droppedMs()) {
            return Transition.of(this);
        }
        int pools = known.map(Failures::pools).orElse(0) + 1;
        Map<UpstreamName, Failures> changed = new HashMap<>(upstreams);
        changed.put(upstream, new Failures(nowMs, pools));
        ConnectionCommand drop = new ConnectionCommand.DropPool(upstream);
        List<ConnectionCommand> commands =
                pools == FAILURES_UNTIL_DOWN ? List.of(drop, new ConnectionCommand.MarkDown(upstream)) : List.of(drop);
        return new Transition<>(new ConnectionHealth(changed), commands);
    }

    /**
     * Notes that a request made progress.
     *
     * @param upstream the upstream
     * @param sentMs when that request was sent
     * @return the next state and the commands
     */
    public Transition<ConnectionHealth, ConnectionCommand> withProgress(UpstreamName upstream, long sentMs) {
        Failures failures = upstreams.get(upstream);
        if (failures == null || sentMs <= failures.droppedMs()) {
            return Transition.of(this);
        }
        Map<UpstreamName, Failures> changed = new HashMap<>(upstreams);
        // The time of the drop stays known, so that late failures of the old pool do not drop the new one.
        changed.put(upstream, new Failures(failures.droppedMs(), 0));
        ConnectionHealth next = new ConnectionHealth(changed);
        return isDown(upstream) ? Transition.of(next, new ConnectionCommand.MarkUp(upstream)) : Transition.of(next);
    }

    /**
     * Tells whether an upstream is marked as down.
     *
     * @param upstream the upstream
     * @return true after several pools went silent
     */
    public boolean isDown(UpstreamName upstream) {
        Failures failures = upstreams.get(upstream);
        return failures != null && failures.pools() >= FAILURES_UNTIL_DOWN;
    }
}
