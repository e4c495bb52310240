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
 * Holds the configuration in force and how fresh it is. All methods but {@link #view}, {@link #isFresh} belong to the
 * control thread.
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
     * Creates the configuration of a router that has adopted none.
     *
     * @param self the router
     * @param clock the clock
     * @param freshnessLimitMs how long a confirmation counts
     * @param prerequisite tells whether what else new work needs from the platform is known
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
     * @return the view
     */
    public FleetView view() {
        return view;
    }

    /**
     * Tells whether new work may start; may be called from any thread.
     *
     * @return true if the configuration was confirmed within the limit
     */
    public boolean isFresh() {
        return prerequisite.getAsBoolean() && clock.nowMs() < freshUntilMs;
    }

    /**
     * Registers a listener that is called on the control thread after each adoption.
     *
     * @param listener the listener
     */
    public void onAdopted(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Adopts a document that the platform or a peer that adopted it gave; one that is not newer changes nothing.
     *
     * @param document the document
     * @param source where it came from, for the log
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
     * Records that this router was registered. A confirmation by the platform counts only from then on: a change could
     * have been accepted before without this router.
     */
    public void registered() {
        registeredAtMs = clock.nowMs();
    }

    /**
     * Records a version that the platform gave.
     *
     * @param version the version
     * @param sentAtMs when the request was sent
     */
    public void platformConfirmed(long version, long sentAtMs) {
        if (sentAtMs < registeredAtMs) {
            return;
        }
        tracker = tracker.platformConfirmed(version, sentAtMs);
        refresh();
    }

    /**
     * Records the reply of a peer.
     *
     * @param reply the reply
     */
    public void peerReplied(PeerReply reply) {
        boolean counts = reply.platformAgeMs().isPresent()
                && reply.sentAtMs() - reply.platformAgeMs().getAsLong() >= registeredAtMs;
        tracker = tracker.peerReplied(
                counts
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
     * Records the registered routers.
     *
     * @param members the list
     */
    public void registeredChanged(MemberList members) {
        boolean first = tracker.members().newest().revision() == 0;
        tracker = first
                ? FreshnessTracker.of(self, MemberLists.of(members)).adopted(view.version())
                : tracker.registeredChanged(members);
        refresh();
    }

    /**
     * Returns the state of the confirmations.
     *
     * @return the tracker
     */
    public FreshnessTracker tracker() {
        return tracker;
    }

    /**
     * Returns the age of the platform's confirmation.
     *
     * @return milliseconds, or empty if it never confirmed the version in force
     */
    public OptionalLong platformAgeMs() {
        return tracker.platformAgeMs(clock.nowMs());
    }

    /** Computes again until when new work may start. */
    public void refresh() {
        OptionalLong asOfMs = tracker.freshAsOfMs(clock.nowMs());
        freshUntilMs = asOfMs.isPresent() ? asOfMs.getAsLong() + freshnessLimitMs : 0;
    }
}
