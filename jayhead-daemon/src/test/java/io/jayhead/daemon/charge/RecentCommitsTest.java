package io.jayhead.daemon.charge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKey;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against two requests with the same key at one router that both consume tokens of the grant although only one
 * of them is billed. This happens if both charges are committed: their entries are equal, so the charge log takes the
 * second for a retry of the first.
 */
class RecentCommitsTest {

    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("key"));

    private final RecentCommits commits = new RecentCommits();
    private final List<ChargeResult> laterResults = new ArrayList<>();

    @Test
    void aChargeThatComesWhileTheFirstIsWrittenIsADuplicateOnceThatIsSafe() {
        assertTrue(commits.registerIfFirst(KEY, laterResults::add));
        assertFalse(commits.registerIfFirst(KEY, laterResults::add));
        assertEquals(List.of(), laterResults);
        commits.complete(KEY, ChargeResult.HELD);
        assertEquals(List.of(ChargeResult.DUPLICATE), laterResults);
    }

    @Test
    void aChargeThatComesLaterIsADuplicateAtOnce() {
        assertTrue(commits.registerIfFirst(KEY, laterResults::add));
        commits.complete(KEY, ChargeResult.COMMITTED);
        assertFalse(commits.registerIfFirst(KEY, laterResults::add));
        assertEquals(List.of(ChargeResult.DUPLICATE), laterResults);
    }

    @Test
    void aFailureOfTheFirstFailsTheWaitingOneAndLetsALaterOneTryAgain() {
        assertTrue(commits.registerIfFirst(KEY, laterResults::add));
        assertFalse(commits.registerIfFirst(KEY, laterResults::add));
        commits.complete(KEY, ChargeResult.FAILED);
        assertEquals(List.of(ChargeResult.FAILED), laterResults);
        assertTrue(commits.registerIfFirst(KEY, laterResults::add));
    }
}
