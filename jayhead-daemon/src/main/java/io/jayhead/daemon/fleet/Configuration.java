package io.jayhead.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import io.jayhead.admission.freshness.FreshnessTracker;
import io.jayhead.admission.freshness.MemberList;
import io.jayhead.admission.freshness.MemberLists;
import io.jayhead.admission.freshness.PeerReply;
import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.fleet.FleetParser;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.Either;
import io.jayhead.model.VmName;
import io.jayhead.model.fleet.FleetSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Holds the configuration in force and tracks how long ago it was confirmed as current. Confined to the
 * control thread, except for {@link #view} and {@link #isFresh}.
 */
public final class Configuration {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long NOT_REGISTERED = Long.MAX_VALUE;

    private final HybridClock clock;
    private final long freshnessLimitMs;
    private final BooleanSupplier prerequisite;
    private final List<Consumer<FleetView>> listeners = new ArrayList<>();
    private final VmName self;
    private FreshnessTracker tracker;
    private long registeredAtMs = NOT_REGISTERED;
    private volatile FleetView view = FleetView.empty();
    private volatile long freshUntilMs;

    /**
     * Creates the configuration of a router that has not adopted any version yet.
     *
     * @param self the VM of this router
     * @param clock the time source
     * @param freshnessLimitMs how long a confirmation remains valid, in milliseconds
     * @param prerequisite tells whether the other platform data that new work needs is known; called from any thread
     */
    public Configuration(VmName self, HybridClock clock, long freshnessLimitMs, BooleanSupplier prerequisite) {
        this.self = self;
        this.clock = clock;
        this.freshnessLimitMs = freshnessLimitMs;
        this.prerequisite = prerequisite;
        this.tracker = FreshnessTracker.of(self, MemberLists.of(new MemberList(0, Set.of())));
    }

    /**
     * Returns the configuration in force; may be called from any thread.
     *
     * @return the version and the parsed fleet, which is empty before the first adoption
     */
    public FleetView view() {
        return view;
    }

    /**
     * Tells whether new work may start; may be called from any thread.
     *
     * @return true if the configuration was confirmed within the freshness limit and the prerequisite holds
     */
    public boolean isFresh() {
        return prerequisite.getAsBoolean() && clock.nowMs() < freshUntilMs;
    }

    /**
     * Registers a listener that is called on the control thread after each adoption of a version.
     *
     * @param listener receives the adopted configuration
     */
    public void onAdopted(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Adopts a fleet document that was read from the platform, or received from a peer that has adopted it. A document
     * that is not newer than the configuration in force, or that is invalid, is ignored.
     *
     * @param document the fleet document
     * @param source the origin of the document, for the log
     */
    public void adopt(FleetDocument document, String source) {
        if (document.version() <= view.version()) {
            return;
        }
        Either<List<ConfigProblem>, FleetSpec> parsed = FleetParser.parse(document.text());
        if (!parsed.isRight()) {
            LOGGER.atSevere().log(
                    "configuration version=%d from=%s is invalid here and not adopted: %s",
                    document.version(), source, parsed.getLeft());
            return;
        }
        view = new FleetView(document, parsed.get());
        tracker = tracker.adopted(document.version());
        LOGGER.atInfo().log(
                "configuration adopted version=%d change=%s from=%s", document.version(), document.changeId(), source);
        listeners.forEach(listener -> listener.accept(view));
        refresh();
    }

    /**
     * Records that this router was registered. Only platform reads sent after the registration count as confirmations,
     * because an earlier change could have been accepted without this router.
     */
    public void recordRegistration() {
        registeredAtMs = clock.nowMs();
    }

    /**
     * Records that the platform stores a version as the current one.
     *
     * @param version the version read from the platform
     * @param sentAtMs the time at which the read was sent
     */
    public void platformConfirmed(long version, long sentAtMs) {
        if (sentAtMs < registeredAtMs) {
            return;
        }
        tracker = tracker.platformConfirmed(version, sentAtMs);
        refresh();
    }

    /**
     * Records the heartbeat reply of a peer. The platform confirmation that it relays is dropped if it is older than
     * the registration of this router.
     *
     * @param reply the reply
     */
    public void peerReplied(PeerReply reply) {
        boolean confirmationCounts = reply.platformAgeMs().isPresent()
                && reply.sentAtMs() - reply.platformAgeMs().getAsLong() >= registeredAtMs;
        tracker = tracker.peerReplied(
                confirmationCounts
                        ? reply
                        : new PeerReply(
                                reply.peer(),
                                reply.version(),
                                reply.listRevision(),
                                reply.sentAtMs(),
                                OptionalLong.empty()));
        refresh();
    }

    /**
     * Records a newer list of the registered routers.
     *
     * @param members the member list
     */
    public void memberListChanged(MemberList members) {
        boolean firstList = tracker.memberLists().newest().revision() == 0;
        tracker = firstList
                ? FreshnessTracker.of(self, MemberLists.of(members)).adopted(view.version())
                : tracker.memberListChanged(members);
        refresh();
    }

    /**
     * Returns the tracker of confirmations and member lists.
     *
     * @return the immutable tracker
     */
    public FreshnessTracker tracker() {
        return tracker;
    }

    /**
     * Returns the time since the platform last confirmed the version in force, directly or through a peer.
     *
     * @return the age in milliseconds, or empty if it was never confirmed
     */
    public OptionalLong platformAgeMs() {
        return tracker.platformAgeMs(clock.nowMs());
    }

    /** Recomputes the time until which the configuration counts as fresh. */
    public void refresh() {
        OptionalLong freshAsOfMs = tracker.freshAsOfMs(clock.nowMs());
        freshUntilMs = freshAsOfMs.isPresent() ? freshAsOfMs.getAsLong() + freshnessLimitMs : 0;
    }
}
