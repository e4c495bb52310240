package io.jayhead.daemon.charge;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.model.Either;
import io.jayhead.model.Transition;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import io.jayhead.platform.WriteResult;
import io.jayhead.settlement.charge.ChargeBatch;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeCheckpoint;
import io.jayhead.settlement.charge.ChargeCheckpointCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import io.jayhead.settlement.charge.ChargeLog;
import io.jayhead.settlement.charge.ChargeLogCommand;
import io.jayhead.settlement.charge.ChargeLogEvent;
import io.jayhead.settlement.charge.ChargeLogSettings;
import io.jayhead.settlement.charge.ChargeLogState;
import io.jayhead.settlement.charge.ChargeOutcome;
import io.jayhead.settlement.charge.EventStamp;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Writes one partition of the charge log: feeds the answers of the platform to the charge log state machine and
 * executes its commands. Confined to the control thread.
 */
final class PartitionWriter {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The kind of the slot objects, which are named {@code partition.slot}. */
    static final String LOG_KIND = "charge-log";

    /** The kind of the checkpoint objects, which are named by their partition. */
    static final String CHECKPOINT_KIND = "charge-checkpoint";

    private final int partition;
    private final ControlThread control;
    private final HybridClock clock;
    private final ObjectStore store;
    private final ObjectEditor editor;
    private final PlatformMonitor monitor;
    private final Map<String, Consumer<ChargeOutcome>> callbacks = new HashMap<>();
    private final Deque<ChargeLogEvent> pendingEvents = new ArrayDeque<>();
    private ChargeLogState state;
    private long nextCorrelation;
    private boolean handlingEvents;

    PartitionWriter(
            int partition,
            ChargeLogSettings settings,
            ControlThread control,
            HybridClock clock,
            ObjectStore store,
            ObjectEditor editor,
            PlatformMonitor monitor) {
        this.partition = partition;
        this.control = control;
        this.clock = clock;
        this.store = store;
        this.editor = editor;
        this.monitor = monitor;
        Transition<ChargeLogState, ChargeLogCommand> initial = ChargeLog.start(settings, clock.nowMs());
        this.state = initial.state();
        initial.commands().forEach(this::execute);
    }

    /**
     * Appends an entry. The callback receives every outcome: {@link ChargeOutcome.Held} may be followed by a further
     * outcome, every other outcome is final.
     */
    void append(ChargeEntry entry, Consumer<ChargeOutcome> callback) {
        String correlation = Long.toString(nextCorrelation++);
        callbacks.put(correlation, callback);
        handle(new ChargeLogEvent.Append(stamp(), correlation, entry));
    }

    void tick() {
        handle(new ChargeLogEvent.Tick(stamp()));
    }

    int pendingCharges() {
        return state.pendingCharges();
    }

    boolean platformDown() {
        return state.platformDown();
    }

    private void handle(ChargeLogEvent event) {
        pendingEvents.add(event);
        if (handlingEvents) {
            return;
        }
        handlingEvents = true;
        try {
            while (!pendingEvents.isEmpty()) {
                Transition<ChargeLogState, ChargeLogCommand> transition = ChargeLog.handle(state, pendingEvents.poll());
                state = transition.state();
                transition.commands().forEach(this::execute);
            }
        } finally {
            handlingEvents = false;
        }
    }

    private void execute(ChargeLogCommand command) {
        if (command instanceof ChargeLogCommand.WriteSlot write) {
            writeSlot(write.slot(), write.batch());
        } else if (command instanceof ChargeLogCommand.ReadSlot read) {
            readSlot(read.slot());
        } else if (command instanceof ChargeLogCommand.ReadCheckpoint) {
            readCheckpoint();
        } else if (command instanceof ChargeLogCommand.WriteCheckpoint write) {
            writeCheckpoint(write.checkpoint());
        } else if (command instanceof ChargeLogCommand.DeleteSlots delete) {
            deleteSlots(delete.fromSlot(), delete.untilSlot());
        } else if (command instanceof ChargeLogCommand.Reply reply) {
            reply(reply);
        }
    }

    private void reply(ChargeLogCommand.Reply reply) {
        boolean isFinal = !(reply.outcome() instanceof ChargeOutcome.Held);
        Consumer<ChargeOutcome> callback =
                isFinal ? callbacks.remove(reply.correlation()) : callbacks.get(reply.correlation());
        if (callback != null) {
            callback.accept(reply.outcome());
        }
    }

    private void writeSlot(long slot, ChargeBatch batch) {
        store.create(LOG_KIND, slotName(slot), ChargeBatchCodec.encode(batch))
                .thenAccept(result -> control.execute(() -> {
                    monitor.record(result instanceof WriteResult.Written || result instanceof WriteResult.Conflict);
                    handle(toEvent(slot, batch, result));
                }));
    }

    private ChargeLogEvent toEvent(long slot, ChargeBatch batch, WriteResult result) {
        LOGGER.atFine().log(
                "charge slot partition=%d slot=%d entries=%d result=%s",
                partition, slot, batch.entries().size(), result);
        if (result instanceof WriteResult.Written) {
            return new ChargeLogEvent.SlotWritten(stamp(), slot);
        }
        if (result instanceof WriteResult.Conflict) {
            return new ChargeLogEvent.SlotConflict(stamp(), slot);
        }
        if (result instanceof WriteResult.NotWritten refused) {
            return new ChargeLogEvent.SlotNotWritten(stamp(), slot, refused.reason());
        }
        return new ChargeLogEvent.SlotWriteUnanswered(stamp(), slot);
    }

    private void readSlot(long slot) {
        store.read(LOG_KIND, slotName(slot))
                .thenAccept(result -> control.execute(() -> {
                    monitor.record(!(result instanceof ReadResult.Unavailable));
                    if (result instanceof ReadResult.Found found) {
                        ChargeBatch batch =
                                ChargeBatchCodec.decode(found.object().body());
                        handle(new ChargeLogEvent.SlotRead(stamp(), slot, batch));
                    } else if (result instanceof ReadResult.Missing) {
                        handle(new ChargeLogEvent.SlotAbsent(stamp(), slot));
                    } else {
                        handle(new ChargeLogEvent.SlotUnreadable(stamp(), slot, result.toString()));
                    }
                }));
    }

    private void readCheckpoint() {
        store.read(CHECKPOINT_KIND, Integer.toString(partition))
                .thenAccept(result -> control.execute(() -> {
                    monitor.record(!(result instanceof ReadResult.Unavailable));
                    if (result instanceof ReadResult.Unavailable unavailable) {
                        handle(new ChargeLogEvent.CheckpointUnreadable(stamp(), unavailable.reason()));
                        return;
                    }
                    Optional<ChargeCheckpoint> checkpoint = result.body().map(ChargeCheckpointCodec::decode);
                    handle(new ChargeLogEvent.CheckpointRead(stamp(), checkpoint));
                }));
    }

    private void writeCheckpoint(ChargeCheckpoint checkpoint) {
        editor.<String>edit(CHECKPOINT_KIND, Integer.toString(partition), body -> replaceOlder(body, checkpoint))
                .thenAccept(result -> control.execute(() -> {
                    if (result instanceof EditResult.Edited) {
                        handle(new ChargeLogEvent.CheckpointStored(stamp(), checkpoint));
                    }
                }));
    }

    private static Either<String, String> replaceOlder(Optional<String> stored, ChargeCheckpoint checkpoint) {
        boolean supersedes = stored.map(ChargeCheckpointCodec::decode)
                .map(checkpoint::supersedes)
                .orElse(true);
        return supersedes
                ? Either.right(ChargeCheckpointCodec.encode(checkpoint))
                : Either.left("the stored checkpoint is as new or newer");
    }

    private void deleteSlots(long fromSlot, long untilSlot) {
        if (fromSlot >= untilSlot) {
            return;
        }
        store.read(LOG_KIND, slotName(fromSlot)).thenAccept(result -> {
            if (result instanceof ReadResult.Found found) {
                store.delete(LOG_KIND, slotName(fromSlot), found.object().version())
                        .thenAccept(deleted -> deleteSlots(fromSlot + 1, untilSlot));
            } else if (result instanceof ReadResult.Missing) {
                deleteSlots(fromSlot + 1, untilSlot);
            }
        });
    }

    private String slotName(long slot) {
        return partition + "." + slot;
    }

    private EventStamp stamp() {
        return new EventStamp(clock.nowMs(), UUID.randomUUID().toString());
    }
}
