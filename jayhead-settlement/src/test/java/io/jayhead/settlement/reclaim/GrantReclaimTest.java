package io.jayhead.settlement.reclaim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against the reclaim of tokens that can still be spent.
 *
 * <p>A holder that counts as lost may still be alive. Closing its entry too early returns tokens to the budget that the
 * holder may spend as well.
 */
class GrantReclaimTest {

    private static final IncarnationId HOLDER = IncarnationId.of("lost");

    /** Guards against an entry that is closed without proof that nothing more can be spent. */
    @Property(tries = 20_000)
    void anEntryIsClosedOnlyAfterAllUpstreamsAcknowledged(@ForAll long seed, @ForAll @IntRange(max = 4) int upstreams) {
        Random random = new Random(seed);
        List<FenceTarget> targets = IntStream.range(0, upstreams)
                .mapToObj(i -> new FenceTarget(UpstreamName.of("u" + i), random.nextInt(10) > 0))
                .toList();
        Set<UpstreamName> acknowledged = new HashSet<>();
        boolean pendingChargesCommitted = false;
        Transition<ReclaimState, ReclaimCommand> current = GrantReclaim.start(plan(targets));
        for (int i = 0; i < 40; i++) {
            ReclaimEvent event = randomEvent(random, targets);
            boolean fencing = current.state().step() == ReclaimStep.FENCING;
            if (fencing && event instanceof ReclaimEvent.FenceAcknowledged fence) {
                acknowledged.add(fence.upstream());
            }
            pendingChargesCommitted |= current.state().step() == ReclaimStep.COMMITTING
                    && event instanceof ReclaimEvent.PendingChargesCommitted;
            current = GrantReclaim.handle(current.state(), event);
            boolean closeRequested = current.commands().stream().anyMatch(ReclaimCommand.CloseEntry.class::isInstance);
            if (closeRequested || current.state().step() == ReclaimStep.CLOSED) {
                assertTrue(!targets.isEmpty() && targets.stream().allMatch(FenceTarget::checksFencing));
                assertEquals(upstreams, acknowledged.size());
                assertTrue(pendingChargesCommitted);
            }
        }
    }

    @Test
    void cancelledRequestsOfAllUpstreamsAreChargedBeforeTheSumIsCounted() {
        List<FenceTarget> targets =
                List.of(new FenceTarget(UpstreamName.of("u0"), true), new FenceTarget(UpstreamName.of("u1"), true));
        ReclaimState state = GrantReclaim.start(plan(targets)).state();
        state = GrantReclaim.handle(state, new ReclaimEvent.EntryMarked()).state();
        state = GrantReclaim.handle(state, acknowledged("u0", 1)).state();
        Transition<ReclaimState, ReclaimCommand> next = GrantReclaim.handle(state, acknowledged("u1", 2));
        assertEquals(List.of(new ReclaimCommand.ChargeCancelledRequests(List.of(entry(1), entry(2)))), next.commands());
        next = GrantReclaim.handle(next.state(), new ReclaimEvent.CancelledRequestsCharged());
        assertInstanceOf(
                ReclaimCommand.CommitPendingCharges.class, next.commands().get(0));
        next = GrantReclaim.handle(next.state(), new ReclaimEvent.PendingChargesCommitted());
        assertInstanceOf(ReclaimCommand.CountCharges.class, next.commands().get(0));
        next = GrantReclaim.handle(next.state(), new ReclaimEvent.ChargesCounted(9));
        assertEquals(List.of(new ReclaimCommand.CloseEntry("n", 9)), next.commands());
    }

    /** Guards against a reclaim that cannot succeed but voids the grant of a holder that is still alive. */
    @Test
    void nothingIsMarkedIfAnUpstreamIgnoresFencing() {
        Transition<ReclaimState, ReclaimCommand> start =
                GrantReclaim.start(plan(List.of(new FenceTarget(UpstreamName.of("u0"), false))));
        assertEquals(1, start.commands().size());
        assertInstanceOf(ReclaimCommand.WriteOff.class, start.commands().get(0));
    }

    private static ReclaimEvent randomEvent(Random random, List<FenceTarget> targets) {
        String upstream = "u" + random.nextInt(Math.max(1, targets.size()));
        return switch (random.nextInt(20)) {
            case 0 -> new ReclaimEvent.FenceFailed(UpstreamName.of(upstream));
            case 1 -> random.nextBoolean() ? new ReclaimEvent.MarkConflict() : new ReclaimEvent.CloseConflict();
            case 2, 3, 4 -> new ReclaimEvent.EntryMarked();
            case 5, 6 -> new ReclaimEvent.CancelledRequestsCharged();
            case 7, 8 -> new ReclaimEvent.PendingChargesCommitted();
            case 9, 10 -> new ReclaimEvent.ChargesCounted(5);
            case 11, 12 -> new ReclaimEvent.EntryClosed();
            default -> acknowledged(upstream, random.nextInt(3));
        };
    }

    private static ReclaimEvent acknowledged(String upstream, int request) {
        return new ReclaimEvent.FenceAcknowledged(
                UpstreamName.of(upstream), request == 0 ? List.of() : List.of(entry(request)));
    }

    private static ChargeEntry entry(int request) {
        RequestKey key = new RequestKey(RequestKey.sha256("r" + request));
        return new ChargeEntry(key, BudgetId.of("shop", "main"), HOLDER, 3, 4, "plan");
    }

    private static ReclaimPlan plan(List<FenceTarget> targets) {
        return new ReclaimPlan(BudgetId.of("shop", "main"), HOLDER, 2, "n", targets);
    }
}
