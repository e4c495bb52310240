package io.jayhead.admission.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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

    @Test
    void aPartIsTriedSoonOnlyIfItsUpstreamsEndedAtOneMoment() {
        assertEquals(
                OptionalLong.of(PromptQuarantine.TRIAL_AFTER_MOMENT_MS),
                quarantine(ended(1_000, 1_400)).nextTrialInMs("part", 0));
        assertEquals(
                OptionalLong.of(PromptQuarantine.TRIAL_AFTER_SERIES_MS),
                quarantine(ended(1_000, 1_600)).nextTrialInMs("part", 0));
        assertEquals(
                OptionalLong.of(PromptQuarantine.TRIAL_AFTER_SERIES_MS),
                quarantine(new PartCrashes("part", 0, Set.of("e1", "e2", "e3"))).nextTrialInMs("part", 0));
    }

    @Test
    void aTrialIsDueFromItsTimeOn() {
        PromptQuarantine quarantine = quarantine(ended(1_000, 1_400));
        assertEquals(OptionalLong.of(1), quarantine.nextTrialInMs("part", PromptQuarantine.TRIAL_AFTER_MOMENT_MS - 1));
        assertEquals(OptionalLong.of(0), quarantine.nextTrialInMs("part", PromptQuarantine.TRIAL_AFTER_MOMENT_MS));
        assertEquals(OptionalLong.of(0), quarantine.nextTrialInMs("part", PromptQuarantine.KEEP_MS));
    }

    @Test
    void aFailedTrialDelaysTheNextOneAndTheLastOneEndsThem() {
        PartCrashes once = ended(1_000, 1_400).withTrial("t1");
        PromptQuarantine quarantine = quarantine(once);
        assertEquals(OptionalLong.of(PromptQuarantine.NEXT_TRIAL_MS), quarantine.nextTrialInMs("part", 0));
        PromptQuarantine twice = quarantine.with(once.withTrial("t2"), 0);
        assertEquals(OptionalLong.empty(), twice.nextTrialInMs("part", PromptQuarantine.KEEP_MS));
        assertTrue(twice.blocks(List.of("part")));
    }

    @Test
    void aRecordThatIsReadAgainDelaysNoTrial() {
        PromptQuarantine quarantine = quarantine(ended(1_000, 1_400));
        PromptQuarantine readAgain = quarantine.retaining(Set.of("part")).with(ended(1_000, 1_400), 1_500);
        assertEquals(OptionalLong.of(500), readAgain.nextTrialInMs("part", 1_500));
        assertEquals(Set.of(), quarantine.retaining(Set.of()).parts());
    }

    @Test
    void onlyARequestWithASingleBlockedPartIsTried() {
        PromptQuarantine quarantine = quarantine(
                new PartCrashes("bad", 1, Set.of("e1", "e2", "e3")),
                new PartCrashes("worse", 1, Set.of("e4", "e5", "e6")),
                new PartCrashes("sound", 0, Set.of("e1")));
        assertEquals(Optional.of("bad"), quarantine.onlyBlocked(List.of("sound", "bad")));
        assertEquals(Optional.empty(), quarantine.onlyBlocked(List.of("worse", "bad")));
        assertEquals(Optional.empty(), quarantine.onlyBlocked(List.of("sound")));
        assertEquals(OptionalLong.empty(), quarantine.nextTrialInMs("sound", PromptQuarantine.KEEP_MS));
        assertEquals(OptionalLong.empty(), quarantine.nextTrialInMs("unknown", 0));
    }

    @Test
    void mergedRecordsHaveTheTrialsAndTimesOfBoth() {
        PartCrashes left = new PartCrashes("part", 0, Set.of("e1"), new EndTimes(10, 20), Set.of("t1"));
        PartCrashes right = new PartCrashes("part", 0, Set.of("e2"), new EndTimes(5, 15), Set.of("t2"));
        PartCrashes merged = left.merge(right);
        assertEquals(new EndTimes(5, 20), merged.times());
        assertEquals(Set.of("t1", "t2"), merged.trials());
        assertEquals(merged, right.merge(left));
        PartCrashes unknown = new PartCrashes("part", 0, Set.of("e3"));
        assertEquals(EndTimes.unknown(), merged.merge(unknown).times());
    }

    /** Three upstreams that ended between two times. */
    private static PartCrashes ended(long firstMs, long lastMs) {
        return new PartCrashes("part", 0, Set.of("e1", "e2", "e3"), new EndTimes(firstMs, lastMs), Set.of());
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
