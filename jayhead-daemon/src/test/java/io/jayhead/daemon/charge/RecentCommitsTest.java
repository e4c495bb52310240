package io.jayhead.daemon.charge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKey;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against tokens that two equal charges of one router consume twice. */
class RecentCommitsTest {

    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("key"));

    private final RecentCommits commits = new RecentCommits();
    private final List<ChargeResult> followers = new ArrayList<>();

    @Test
    void aChargeThatComesWhileTheFirstIsWrittenIsADuplicateOnceThatIsSafe() {
        assertTrue(commits.isFirst(KEY, followers::add));
        assertFalse(commits.isFirst(KEY, followers::add));
        assertEquals(List.of(), followers);
        commits.complete(KEY, ChargeResult.HELD);
        assertEquals(List.of(ChargeResult.DUPLICATE), followers);
    }

    @Test
    void aChargeThatComesLaterIsADuplicateAtOnce() {
        assertTrue(commits.isFirst(KEY, followers::add));
        commits.complete(KEY, ChargeResult.COMMITTED);
        assertFalse(commits.isFirst(KEY, followers::add));
        assertEquals(List.of(ChargeResult.DUPLICATE), followers);
    }

    @Test
    void aFailureOfTheFirstFailsTheWaitingOneAndLetsALaterOneTryAgain() {
        assertTrue(commits.isFirst(KEY, followers::add));
        assertFalse(commits.isFirst(KEY, followers::add));
        commits.complete(KEY, ChargeResult.FAILED);
        assertEquals(List.of(ChargeResult.FAILED), followers);
        assertTrue(commits.isFirst(KEY, followers::add));
    }
}
