package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Runs several writers of a partition against a simulated platform that loses replies, delays writes and fails. */
final class ChargeLogSimulation {

    static final ChargeLogSettings SETTINGS = new ChargeLogSettings(4, 10, 20, 60, 4);

    final TreeMap<Long, ChargeBatch> slots = new TreeMap<>();
    final Map<String, ChargeEntry> submitted = new HashMap<>();
    final Map<String, Writer> submittedTo = new HashMap<>();
    final Map<String, List<ChargeOutcome>> replies = new HashMap<>();
    final List<Writer> writers = new ArrayList<>();
    Optional<ChargeCheckpoint> checkpoint = Optional.empty();
    long nowMs = 6_000_000;
    private final Random random;
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private boolean outage;
    private int nonceCount;

    ChargeLogSimulation(long seed, int writerCount) {
        random = new Random(seed);
        for (int i = 0; i < writerCount; i++) {
            writers.add(new Writer());
        }
    }

    void step(int keyCount) {
        Writer writer = writers.get(random.nextInt(writers.size()));
        int choice = random.nextInt(100);
        if (choice < 25) {
            submit(writer, random.nextInt(keyCount));
        } else if (choice < 75) {
            writer.runCommand(random.nextInt(4));
        } else if (choice < 90) {
            nowMs += random.nextInt(20);
            writer.handle(new ChargeLogEvent.Tick(stamp()));
        } else if (choice < 95) {
            applyDelayedWrite();
        } else if (choice < 97) {
            outage = !outage;
        } else if (choice == 97) {
            writer.crash();
            writers.set(writers.indexOf(writer), new Writer());
        }
    }

    /** Ends all faults and runs the writers until nothing is pending. */
    void settle() {
        outage = false;
        while (!delayedWrites.isEmpty()) {
            applyDelayedWrite();
        }
        for (int round = 0; round < 20_000 && writers.stream().anyMatch(Writer::busy); round++) {
            nowMs += 5;
            for (Writer writer : writers) {
                writer.handle(new ChargeLogEvent.Tick(stamp()));
                writer.runCommand(0);
            }
        }
    }

    /** Returns the ledger of a new reader, which reads the checkpoint and the slots after it. */
    ChargeLedger newReaderLedger() {
        ChargeLedger ledger = checkpoint.map(ChargeCheckpoint::ledger).orElse(ChargeLedger.empty(60));
        while (slots.containsKey(ledger.nextSlot())) {
            ledger = ledger.plus(slots.get(ledger.nextSlot()));
        }
        return ledger;
    }

    void submit(Writer writer, int keyNumber) {
        String correlation = "c" + submitted.size();
        ChargeEntry entry = new ChargeEntry(
                new RequestKey(RequestKey.sha256("key" + keyNumber)),
                BudgetId.of("shop", "main"),
                IncarnationId.of("i" + random.nextInt(3)),
                random.nextInt(50),
                random.nextInt(50),
                "plan");
        submitted.put(correlation, entry);
        submittedTo.put(correlation, writer);
        writer.handle(new ChargeLogEvent.Append(stamp(), correlation, entry));
    }

    private EventStamp stamp() {
        return new EventStamp(nowMs, "n" + nonceCount++);
    }

    private void applyDelayedWrite() {
        if (!delayedWrites.isEmpty()) {
            delayedWrites.remove(random.nextInt(delayedWrites.size())).run();
        }
    }

    final class Writer {
        final List<ChargeLogCommand> commands = new ArrayList<>();
        ChargeLogState state;

        Writer() {
            accept(ChargeLog.start(SETTINGS, nowMs));
        }

        boolean busy() {
            return state.pendingCharges() > 0 || !commands.isEmpty();
        }

        void handle(ChargeLogEvent event) {
            accept(ChargeLog.handle(state, event));
        }

        private void accept(Transition<ChargeLogState, ChargeLogCommand> transition) {
            state = transition.state();
            for (ChargeLogCommand command : transition.commands()) {
                if (command instanceof ChargeLogCommand.Reply reply) {
                    replies.computeIfAbsent(reply.correlation(), correlation -> new ArrayList<>())
                            .add(reply.outcome());
                } else {
                    commands.add(command);
                }
            }
        }

        void crash() {
            for (ChargeLogCommand command : commands) {
                if (command instanceof ChargeLogCommand.WriteSlot write && random.nextBoolean()) {
                    delayedWrites.add(() -> slots.putIfAbsent(write.slot(), write.batch()));
                }
            }
        }

        /**
         * Runs a random command of this writer.
         *
         * @param fault 0 for none; for a slot write, 1 if the reply is lost after the effect, 2 if the reply is lost
         *     and the effect is delayed, 3 if the platform refuses; reads and checkpoint writes fail only with fault 3
         *     or in an outage; deletions never fail
         */
        void runCommand(int fault) {
            if (commands.isEmpty()) {
                return;
            }
            ChargeLogCommand command = commands.remove(random.nextInt(commands.size()));
            if (command instanceof ChargeLogCommand.WriteSlot write) {
                handle(write(write, outage ? 3 : fault));
            } else if (command instanceof ChargeLogCommand.ReadSlot read) {
                handle(read(read.slot(), outage || fault == 3));
            } else if (command instanceof ChargeLogCommand.ReadCheckpoint) {
                handle(
                        outage || fault == 3
                                ? new ChargeLogEvent.CheckpointUnreadable(stamp(), "outage")
                                : new ChargeLogEvent.CheckpointRead(stamp(), checkpoint));
            } else if (command instanceof ChargeLogCommand.WriteCheckpoint write && !outage && fault != 3) {
                ChargeCheckpoint written =
                        ChargeCheckpointCodec.decode(ChargeCheckpointCodec.encode(write.checkpoint()));
                if (checkpoint.isEmpty() || written.supersedes(checkpoint.get())) {
                    checkpoint = Optional.of(written);
                    handle(new ChargeLogEvent.CheckpointStored(stamp(), written));
                }
            } else if (command instanceof ChargeLogCommand.DeleteSlots delete) {
                slots.subMap(delete.fromSlot(), delete.untilSlot()).clear();
            }
        }

        private ChargeLogEvent write(ChargeLogCommand.WriteSlot write, int fault) {
            if (fault == 3) {
                return new ChargeLogEvent.SlotNotWritten(stamp(), write.slot(), "outage");
            }
            if (fault == 2) {
                delayedWrites.add(() -> slots.putIfAbsent(write.slot(), write.batch()));
                return new ChargeLogEvent.SlotWriteUnanswered(stamp(), write.slot());
            }
            boolean written = slots.putIfAbsent(write.slot(), write.batch()) == null;
            if (fault == 1) {
                return new ChargeLogEvent.SlotWriteUnanswered(stamp(), write.slot());
            }
            return written
                    ? new ChargeLogEvent.SlotWritten(stamp(), write.slot())
                    : new ChargeLogEvent.SlotConflict(stamp(), write.slot());
        }

        private ChargeLogEvent read(long slot, boolean fails) {
            if (fails) {
                return new ChargeLogEvent.SlotUnreadable(stamp(), slot, "outage");
            }
            ChargeBatch batch = slots.get(slot);
            return batch == null
                    ? new ChargeLogEvent.SlotAbsent(stamp(), slot)
                    : new ChargeLogEvent.SlotRead(stamp(), slot, batch);
        }
    }

    Stream<ChargeEntry> loggedEntries() {
        return slots.values().stream().flatMap(batch -> batch.entries().stream());
    }
}
