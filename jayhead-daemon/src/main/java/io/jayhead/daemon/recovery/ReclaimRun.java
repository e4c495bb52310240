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

/** Executes the steps of one reclaim; belongs to the control thread. Each step may be repeated by another router. */
final class ReclaimRun {

    private static final long COMMIT_TIMEOUT_MS = 5_000;

    private final ReclaimParts parts;
    private final Map<UpstreamName, UpstreamSpec> targets;
    private final Predicate<IncarnationId> isLost;
    private final BiConsumer<ReclaimStep, String> onStep;
    private ReclaimState state;

    /**
     * Creates a run.
     *
     * @param parts what the steps need
     * @param targets the upstreams on which the budget could be spent
     * @param isLost tells whether a registered router is lost too
     * @param onStep is told each step and the reason for writing the grant off
     */
    ReclaimRun(
            ReclaimParts parts,
            Map<UpstreamName, UpstreamSpec> targets,
            Predicate<IncarnationId> isLost,
            BiConsumer<ReclaimStep, String> onStep) {
        this.parts = parts;
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
        boolean moved = state == null || state.step() != transition.state().step();
        state = transition.state();
        if (moved) {
            report(transition.commands());
        }
        try {
            transition.commands().forEach(this::execute);
        } catch (RuntimeException e) {
            handle(new ReclaimEvent.StepFailed(e.toString()));
        }
    }

    private void report(List<ReclaimCommand> commands) {
        String reason = commands.stream()
                .filter(ReclaimCommand.LeaveWrittenOff.class::isInstance)
                .map(command -> ((ReclaimCommand.LeaveWrittenOff) command).reason())
                .findFirst()
                .orElse("");
        parts.decisions()
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
            edited(
                    parts.ledgers().mark(state.plan().budget(), state.plan().holder(), mark.nonce()),
                    new ReclaimEvent.EntryMarked(),
                    new ReclaimEvent.MarkLost());
        } else if (command instanceof ReclaimCommand.RaiseFence fence) {
            raise(fence);
        } else if (command instanceof ReclaimCommand.ChargeCancelled charge) {
            charge(RecoveredCharges.largestByKey(charge.entries()));
        } else if (command instanceof ReclaimCommand.CommitPending) {
            commitPending();
        } else if (command instanceof ReclaimCommand.CountCharges) {
            on(parts.bills().totals(), this::counted);
        } else if (command instanceof ReclaimCommand.CloseEntry close) {
            edited(
                    parts.ledgers()
                            .close(state.plan().budget(), state.plan().holder(), close.nonce(), close.chargedTokens()),
                    new ReclaimEvent.EntryClosed(),
                    new ReclaimEvent.CloseLost());
        }
    }

    private void edited(
            CompletableFuture<EditResult<LedgerRefusal>> edit, ReclaimEvent onEdited, ReclaimEvent onRefused) {
        on(edit, result -> {
            if (result instanceof EditResult.Edited) {
                handle(onEdited);
            } else if (result instanceof EditResult.Refused) {
                handle(onRefused);
            } else {
                handle(new ReclaimEvent.StepFailed("the ledger was not written: " + result));
            }
        });
    }

    private void raise(ReclaimCommand.RaiseFence fence) {
        UpstreamSpec upstream = targets.get(fence.upstream());
        on(
                parts.fences().raise(upstream.address(), fence.holder(), fence.number()),
                charges -> handle(charges.<ReclaimEvent>map(
                                entries -> new ReclaimEvent.FenceAcknowledged(fence.upstream(), entries))
                        .orElseGet(() -> new ReclaimEvent.FenceFailed(fence.upstream()))));
    }

    private void charge(Collection<ChargeEntry> entries) {
        AtomicInteger missing = new AtomicInteger(entries.size());
        for (ChargeEntry entry : entries) {
            parts.charges().commit(entry, result -> {
                if (result != ChargeResult.COMMITTED && result != ChargeResult.DUPLICATE) {
                    handle(new ReclaimEvent.StepFailed("a charge is not in the log: " + result));
                } else if (missing.decrementAndGet() == 0) {
                    handle(new ReclaimEvent.CancelledCharged());
                }
            });
        }
    }

    /** Asks all routers but the lost ones: what a lost one held was finished at an engine, whose answer lists it. */
    private void commitPending() {
        IncarnationId holder = state.plan().holder();
        List<Member> peers = parts.membership().registered().stream()
                .filter(member -> !member.equals(parts.membership().self()))
                .filter(member -> !member.incarnation().equals(holder) && !isLost.test(member.incarnation()))
                .toList();
        AtomicInteger missing = new AtomicInteger(peers.size() + 1);
        Runnable committed = () -> {
            if (missing.decrementAndGet() == 0) {
                handle(new ReclaimEvent.PendingCommitted());
            }
        };
        Frame request = Frame.newBuilder()
                .setCommitCharges(CommitCharges.newBuilder().setIncarnation(holder.value()))
                .build();
        for (Member peer : peers) {
            parts.links()
                    .send(
                            peer.address(),
                            request,
                            COMMIT_TIMEOUT_MS,
                            reply -> {
                                if (reply.hasCommitChargesReply()) {
                                    committed.run();
                                } else {
                                    handle(new ReclaimEvent.StepFailed(peer.vm() + " cannot commit charges"));
                                }
                            },
                            () -> handle(new ReclaimEvent.StepFailed(peer.vm() + " did not commit charges")));
        }
        on(
                parts.charges().commitPending(holder).orTimeout(COMMIT_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                done -> committed.run());
    }

    private void counted(Optional<Map<ChargeAccount, Long>> totals) {
        ChargeAccount account =
                new ChargeAccount(state.plan().budget(), state.plan().holder());
        handle(totals.<ReclaimEvent>map(sums -> new ReclaimEvent.ChargesCounted(sums.getOrDefault(account, 0L)))
                .orElseGet(() -> new ReclaimEvent.StepFailed("the charge log cannot be read")));
    }

    private <T> void on(CompletableFuture<T> future, Consumer<T> next) {
        future.whenComplete((value, failure) -> parts.control().execute(() -> {
            if (failure == null) {
                next.accept(value);
            } else {
                handle(new ReclaimEvent.StepFailed(failure.toString()));
            }
        }));
    }
}
