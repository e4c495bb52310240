package io.jayhead.daemon.recovery;

import io.jayhead.admission.budget.LedgerRefusal;
import io.jayhead.daemon.charge.ChargeResult;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.peer.pb.CommitCharges;
import io.jayhead.peer.pb.Frame;
import io.jayhead.platform.EditResult;
import io.jayhead.settlement.charge.ChargeAccount;
import io.jayhead.settlement.charge.ChargeEntry;
import io.jayhead.settlement.reclaim.GrantReclaim;
import io.jayhead.settlement.reclaim.ReclaimCommand;
import io.jayhead.settlement.reclaim.ReclaimEvent;
import io.jayhead.settlement.reclaim.ReclaimPlan;
import io.jayhead.settlement.reclaim.ReclaimState;
import io.jayhead.settlement.reclaim.ReclaimStep;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Executes the steps of one reclaim; confined to the control thread.
 *
 * <p>Another router may repeat any of the steps.
 */
final class ReclaimRun {

    private static final long COMMIT_TIMEOUT_MS = 5_000;

    private final ReclaimComponents components;
    private final Map<UpstreamName, UpstreamSpec> targets;
    private final Predicate<IncarnationId> isLost;
    private final BiConsumer<ReclaimStep, String> onStep;
    private ReclaimState state;

    /**
     * Creates a run.
     *
     * @param components the components that the steps use
     * @param targets the upstreams on which the holder could spend the budget
     * @param isLost tells whether a router incarnation is lost; lost routers are not asked for charges
     * @param onStep receives each new step and the reason why the grant is written off; the reason is empty otherwise
     */
    ReclaimRun(
            ReclaimComponents components,
            Map<UpstreamName, UpstreamSpec> targets,
            Predicate<IncarnationId> isLost,
            BiConsumer<ReclaimStep, String> onStep) {
        this.components = components;
        this.targets = targets;
        this.isLost = isLost;
        this.onStep = onStep;
    }

    void start(ReclaimPlan plan) {
        apply(GrantReclaim.start(plan));
    }

    private void handle(ReclaimEvent event) {
        apply(GrantReclaim.handle(state, event));
    }

    private void apply(Transition<ReclaimState, ReclaimCommand> transition) {
        boolean stepChanged =
                state == null || state.step() != transition.state().step();
        state = transition.state();
        if (stepChanged) {
            recordStep(transition.commands());
        }
        try {
            transition.commands().forEach(this::execute);
        } catch (RuntimeException e) {
            handle(new ReclaimEvent.StepFailed(e.toString()));
        }
    }

    private void recordStep(List<ReclaimCommand> commands) {
        String reason = commands.stream()
                .filter(ReclaimCommand.WriteOff.class::isInstance)
                .map(command -> ((ReclaimCommand.WriteOff) command).reason())
                .findFirst()
                .orElse("");
        components
                .decisions()
                .record(
                        "recovery",
                        "-",
                        "budget=%s holder=%s step=%s%s",
                        state.plan().budget(),
                        state.plan().holder(),
                        state.step().name().toLowerCase(java.util.Locale.ROOT),
                        reason.isEmpty() ? "" : " reason=\"" + reason + "\"");
        onStep.accept(state.step(), reason);
    }

    private void execute(ReclaimCommand command) {
        if (command instanceof ReclaimCommand.MarkEntry mark) {
            handleEdit(
                    components
                            .ledgers()
                            .mark(state.plan().budget(), state.plan().holder(), mark.nonce()),
                    new ReclaimEvent.EntryMarked(),
                    new ReclaimEvent.MarkConflict());
        } else if (command instanceof ReclaimCommand.RaiseFence fence) {
            raiseFencingToken(fence);
        } else if (command instanceof ReclaimCommand.ChargeCancelledRequests charge) {
            commitCharges(RecoveredCharges.largestByKey(charge.entries()));
        } else if (command instanceof ReclaimCommand.CommitPendingCharges) {
            commitPendingCharges();
        } else if (command instanceof ReclaimCommand.CountCharges) {
            whenComplete(components.chargeLogReader().totals(), this::handleTotals);
        } else if (command instanceof ReclaimCommand.CloseEntry close) {
            handleEdit(
                    components
                            .ledgers()
                            .close(state.plan().budget(), state.plan().holder(), close.nonce(), close.chargedTokens()),
                    new ReclaimEvent.EntryClosed(),
                    new ReclaimEvent.CloseConflict());
        }
    }

    private void handleEdit(
            CompletableFuture<EditResult<LedgerRefusal>> edit, ReclaimEvent onEdited, ReclaimEvent onRefused) {
        whenComplete(edit, result -> {
            if (result instanceof EditResult.Edited) {
                handle(onEdited);
            } else if (result instanceof EditResult.Refused) {
                handle(onRefused);
            } else {
                handle(new ReclaimEvent.StepFailed("the ledger was not written: " + result));
            }
        });
    }

    private void raiseFencingToken(ReclaimCommand.RaiseFence fence) {
        UpstreamSpec upstream = targets.get(fence.upstream());
        whenComplete(
                components.fences().raise(upstream.address(), fence.holder(), fence.fencingToken()),
                charges -> handle(charges.<ReclaimEvent>map(
                                entries -> new ReclaimEvent.FenceAcknowledged(fence.upstream(), entries))
                        .orElseGet(() -> new ReclaimEvent.FenceFailed(fence.upstream()))));
    }

    private void commitCharges(Collection<ChargeEntry> entries) {
        AtomicInteger outstanding = new AtomicInteger(entries.size());
        for (ChargeEntry entry : entries) {
            components.charges().commit(entry, result -> {
                if (result != ChargeResult.COMMITTED && result != ChargeResult.DUPLICATE) {
                    handle(new ReclaimEvent.StepFailed("a charge is not in the log: " + result));
                } else if (outstanding.decrementAndGet() == 0) {
                    handle(new ReclaimEvent.CancelledRequestsCharged());
                }
            });
        }
    }

    /**
     * Commits the charges of the holder that this and all other registered routers still hold. Lost routers are not
     * asked: the requests whose charges they held had finished at an engine, whose fence answer lists them.
     */
    private void commitPendingCharges() {
        IncarnationId holder = state.plan().holder();
        List<Member> peers = components.membership().registeredRouters().stream()
                .filter(member -> !member.equals(components.membership().self()))
                .filter(member -> !member.incarnation().equals(holder) && !isLost.test(member.incarnation()))
                .toList();
        AtomicInteger outstanding = new AtomicInteger(peers.size() + 1);
        Runnable onCommitted = () -> {
            if (outstanding.decrementAndGet() == 0) {
                handle(new ReclaimEvent.PendingChargesCommitted());
            }
        };
        Frame request = Frame.newBuilder()
                .setCommitCharges(CommitCharges.newBuilder().setIncarnation(holder.value()))
                .build();
        for (Member peer : peers) {
            components
                    .links()
                    .send(
                            peer.address(),
                            request,
                            COMMIT_TIMEOUT_MS,
                            reply -> {
                                if (reply.hasCommitChargesReply()) {
                                    onCommitted.run();
                                } else {
                                    handle(new ReclaimEvent.StepFailed(peer.vm() + " cannot commit charges"));
                                }
                            },
                            () -> handle(new ReclaimEvent.StepFailed(peer.vm() + " did not commit charges")));
        }
        whenComplete(
                components.charges().commitPending(holder).orTimeout(COMMIT_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                ignored -> onCommitted.run());
    }

    private void handleTotals(Optional<Map<ChargeAccount, Long>> totals) {
        ChargeAccount account =
                new ChargeAccount(state.plan().budget(), state.plan().holder());
        handle(totals.<ReclaimEvent>map(sums -> new ReclaimEvent.ChargesCounted(sums.getOrDefault(account, 0L)))
                .orElseGet(() -> new ReclaimEvent.StepFailed("the charge log cannot be read")));
    }

    private <T> void whenComplete(CompletableFuture<T> future, Consumer<T> onValue) {
        future.whenComplete((value, failure) -> components.control().execute(() -> {
            if (failure == null) {
                onValue.accept(value);
            } else {
                handle(new ReclaimEvent.StepFailed(failure.toString()));
            }
        }));
    }
}
