package io.jayhead.admission.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PromptQuarantineTest {

    @Test
    void aPartUnderWhichThreeUpstreamsEndedIsBlocked() {
        assertFalse(quarantine(new PartCrashes("bad", 1, Set.of("e1", "e2"))).blocks(List.of("system", "bad")));
        assertTrue(
                quarantine(new PartCrashes("bad", 1, Set.of("e1", "e2", "e3"))).blocks(List.of("system", "bad")));
    }

    @Test
    void partsThatWereOnlyPresentAtTheSameEndsStayAllowed() {
        PromptQuarantine quarantine = quarantine(
                new PartCrashes("system", 0, Set.of("e1", "e2", "e3", "e4")),
                new PartCrashes("bad", 1, Set.of("e1", "e2", "e3", "e4", "e5")),
                new PartCrashes("session", 1, Set.of("e1", "e3", "e5")));
        assertEquals(Set.of("bad"), quarantine.blocked());
    }

    @Test
    void ofPartsThatAlwaysCameTogetherTheDeeperOneIsBlocked() {
        Set<String> ended = Set.of("e1", "e2", "e3");
        PromptQuarantine quarantine = quarantine(new PartCrashes("system", 0, ended), new PartCrashes("bad", 1, ended));
        assertEquals(Set.of("bad"), quarantine.blocked());
    }

    @Test
    void twoPartsThatEndUpstreamsIndependentlyAreBothBlocked() {
        PromptQuarantine quarantine = quarantine(
                new PartCrashes("bad", 1, Set.of("e1", "e2", "e3", "e4")),
                new PartCrashes("worse", 1, Set.of("e4", "e5", "e6", "e7")));
        assertEquals(Set.of("bad", "worse"), quarantine.blocked());
    }

    @Test
    void aPartIsForgottenAfterALongTimeWithoutAnEnd() {
        PromptQuarantine quarantine = quarantine(new PartCrashes("bad", 1, Set.of("e1", "e2", "e3")));
        assertTrue(quarantine.expired(PromptQuarantine.KEEP_MS - 1).blocks(List.of("bad")));
        assertFalse(quarantine.expired(PromptQuarantine.KEEP_MS).blocks(List.of("bad")));
    }

    @Test
    void aPartThatWasAnsweredIsAllowedAgain() {
        PromptQuarantine quarantine = quarantine(new PartCrashes("sound", 0, Set.of("e1", "e2", "e3")));
        assertFalse(quarantine.without("sound").blocks(List.of("sound")));
    }

    /**
     * Draws series of ends under one part, at which requests with other parts waited by chance: the part is blocked
     * when three upstreams have ended, and no other part ever is.
     */
    @Test
    void onlyThePartThatEndsUpstreamsIsBlockedWhateverWaitedThereByChance() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            PromptQuarantine quarantine = PromptQuarantine.empty();
            for (int end = 1; end <= 12; end++) {
                String upstream = "e" + end;
                Set<String> waiting = new HashSet<>(Set.of("system"));
                for (int session = 0; session < 5; session++) {
                    if (random.nextInt(3) == 0) {
                        waiting.add("session" + session);
                    }
                }
                quarantine = record(quarantine, new PartCrashes("bad", 1, Set.of(upstream)));
                for (String part : waiting) {
                    quarantine = record(quarantine, new PartCrashes(part, 0, Set.of(upstream)));
                }
                Set<String> expected = end < PromptQuarantine.MIN_ENDED_UPSTREAMS ? Set.of() : Set.of("bad");
                assertEquals(expected, quarantine.blocked(), "seed " + seed + ", end " + end);
            }
        }
    }

    @Test
    void aRecordKeepsABoundedNumberOfUpstreams() {
        PartCrashes crashes = new PartCrashes("bad", 1, Set.of("first"));
        for (int upstream = 0; upstream < 2 * PartCrashes.MAX_UPSTREAMS; upstream++) {
            crashes = crashes.merge(new PartCrashes("bad", 1, Set.of("e" + upstream)));
        }
        assertEquals(PartCrashes.MAX_UPSTREAMS, crashes.upstreams().size());
        assertTrue(crashes.upstreams().contains("first"));
    }

    private static PromptQuarantine record(PromptQuarantine quarantine, PartCrashes crashes) {
        return quarantine.with(
                quarantine
                        .find(crashes.part())
                        .map(known -> known.merge(crashes))
                        .orElse(crashes),
                0);
    }

    private static PromptQuarantine quarantine(PartCrashes... records) {
        PromptQuarantine quarantine = PromptQuarantine.empty();
        for (PartCrashes crashes : records) {
            quarantine = quarantine.with(crashes, 0);
        }
        return quarantine;
    }
}
