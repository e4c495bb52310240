package io.jayhead.settlement.charge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against charges that are lost, counted twice or reported to their senders with a wrong outcome.
 *
 * <p>Several writers append to the same partition. A lost reply leaves open whether a batch was written, and a writer
 * that was suspended for long may not know that its slot was deleted.
 */
class ChargeLogTest {

    /** Guards against double charges and lost charges under conflicts, lost replies, crashes and outages. */
    @Property(tries = 1500)
    void everyKeyIsChargedOnceAndNoReplyIsWrong(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int writers) {
        ChargeLogSimulation simulation = new ChargeLogSimulation(seed, writers);
        for (int i = 0; i < 400; i++) {
            simulation.step(seed % 2 == 0 ? 40 : 400);
        }
        simulation.settle();
        Map<RequestKey, ChargeEntry> firstByKey = new HashMap<>();
        Map<ChargeAccount, Long> totals = new HashMap<>();
        simulation.loggedEntries().forEach(entry -> {
            assertEquals(null, firstByKey.put(entry.key(), entry), "key charged twice");
            totals.merge(entry.account(), entry.tokens(), Long::sum);
        });
        assertEquals(totals, simulation.newReaderLedger().totals());
        Set<RequestKey> committed = new HashSet<>();
        simulation.submitted.forEach((correlation, entry) -> {
            List<ChargeOutcome> replies = simulation.replies.getOrDefault(correlation, List.of());
            for (ChargeOutcome outcome : replies) {
                if (outcome instanceof ChargeOutcome.Committed reply) {
                    assertTrue(simulation.slots.get(reply.slot()).entries().contains(entry));
                    assertTrue(
                            committed.add(entry.key()),
                            "two senders were told that their charge is the first one for its key");
                }
                if (outcome instanceof ChargeOutcome.Duplicate reply) {
                    assertEquals(firstByKey.get(entry.key()), reply.first());
                    assertTrue(countSubmissions(simulation, entry) > 1, "own charge reported as a duplicate");
                }
            }
            if (simulation.writers.contains(simulation.submittedTo.get(correlation))) {
                assertTrue(!replies.isEmpty(), "no reply from a writer that did not crash");
                ChargeOutcome last = replies.get(replies.size() - 1);
                assertTrue(!(last instanceof ChargeOutcome.Held), "a held charge was lost");
                assertTrue(replies.size() <= 2, "more than two replies: " + replies);
            }
        });
    }

    /** Guards against a suspended writer that re-creates a deleted slot and reports the charge as committed. */
    @Property(tries = 300)
    void aChargeReportedAsCommittedIsSeenByNewReadersAlthoughSlotsAreDeleted(@ForAll long seed) {
        ChargeLogSimulation simulation = new ChargeLogSimulation(seed, 3);
        java.util.Random random = new java.util.Random(seed);
        for (int i = 0; i < 200; i++) {
            if (random.nextInt(20) == 0) {
                simulation.nowMs += random.nextInt(50) * 60_000L;
            }
            int writerIndex = random.nextInt(100) < 95 ? 1 + random.nextInt(2) : 0;
            ChargeLogSimulation.Writer writer = simulation.writers.get(writerIndex);
            simulation.submit(writer, i);
            simulation.nowMs += 11;
            writer.handle(new ChargeLogEvent.Tick(new EventStamp(simulation.nowMs, "t" + i)));
            for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
                writer.runCommand(0);
            }
        }
        simulation.settle();
        long committed = 0;
        long unresolved = 0;
        for (Map.Entry<String, ChargeEntry> submission : simulation.submitted.entrySet()) {
            List<ChargeOutcome> replies = simulation.replies.get(submission.getKey());
            ChargeOutcome last = replies.get(replies.size() - 1);
            boolean outcomeUnknown = last instanceof ChargeOutcome.Unresolved;
            unresolved += outcomeUnknown ? submission.getValue().tokens() : 0;
            committed += outcomeUnknown ? 0 : submission.getValue().tokens();
        }
        long counted = simulation.newReaderLedger().totals().values().stream()
                .mapToLong(tokens -> tokens)
                .sum();
        assertTrue(committed <= counted, "a committed charge is not counted");
        assertTrue(counted <= committed + unresolved, "a charge is counted twice");
    }

    /** Guards against an outage that empties the duplicate window before peers submit the charges they hold. */
    @Test
    void aChargeThatWasWrittenBeforeALongOutageIsStillRecognisedAfterIt() {
        ChargeLogSimulation simulation = new ChargeLogSimulation(1, 2);
        simulation.submit(simulation.writers.get(0), 1);
        simulation.settle();
        simulation.nowMs += 5 * 3_600_000L;
        simulation.submit(simulation.writers.get(1), 2);
        simulation.settle();
        simulation.submit(simulation.writers.get(1), 1);
        simulation.settle();
        assertInstanceOf(
                ChargeOutcome.Duplicate.class, simulation.replies.get("c2").get(0));
    }

    @Test
    void chargesThatArriveDuringAWriteShareTheNextSlot() {
        ChargeLogSimulation simulation = new ChargeLogSimulation(1, 1);
        ChargeLogSimulation.Writer writer = simulation.writers.get(0);
        writer.runCommand(0);
        writer.runCommand(0);
        simulation.submit(writer, 1);
        simulation.nowMs += ChargeLogSimulation.SETTINGS.lingerMs();
        writer.handle(new ChargeLogEvent.Tick(new EventStamp(simulation.nowMs, "t")));
        simulation.submit(writer, 2);
        simulation.submit(writer, 3);
        simulation.submit(writer, 2);
        simulation.settle();
        assertEquals(2, simulation.slots.size());
        assertEquals(2, simulation.slots.get(1L).entries().size());
        assertInstanceOf(
                ChargeOutcome.Duplicate.class, simulation.replies.get("c3").get(0));
    }

    private static long countSubmissions(ChargeLogSimulation simulation, ChargeEntry entry) {
        return simulation.submitted.values().stream()
                .filter(submitted -> submitted.key().equals(entry.key()))
                .count();
    }
}
