package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that fails alone and is taken for an outage, after which entries of upstreams that are
 * gone would be kept, and against an outage that goes unnoticed.
 */
class PlatformHealthTest {

    private static final long REPETITION_MS = 300;

    private final AtomicInteger recoveries = new AtomicInteger();
    private final PlatformHealth health = new PlatformHealth(
            new StructuredLog(new PrintStream(OutputStream.nullOutputStream())), new GatewayMetrics(), unansweredMs -> {
                recoveries.incrementAndGet();
                lastUnansweredMs = unansweredMs;
            });
    private long lastUnansweredMs;

    @Test
    void callsWithoutAnAnswerAreNoOutageWhileOthersAreAnswered() {
        for (int call = 0; call < 5; call++) {
            health.failed("read routers", failure(PlatformFault.UNANSWERED));
            assertFalse(health.isUnavailable());
            health.succeeded("watch registry");
        }
        assertEquals(0, recoveries.get());
    }

    @Test
    void lostConnectionsAloneAreNoOutage() {
        for (int call = 0; call < 5; call++) {
            health.failed("update ledger", failure(PlatformFault.CONNECTION_LOST));
            health.watchFailed("watch registry", failure(PlatformFault.CONNECTION_LOST));
        }
        assertFalse(health.isUnavailable());
    }

    @Test
    void severalCallsThatFailAtTheSameMomentAreNoOutageIfTheRepetitionOfTheFirstIsAnswered() throws Exception {
        health.failed("read routers", failure(PlatformFault.UNANSWERED));
        health.failed("read crashes", failure(PlatformFault.UNANSWERED));
        assertFalse(health.isUnavailable());
        health.succeeded("read routers");
        Thread.sleep(REPETITION_MS);
        health.failed("announce", failure(PlatformFault.UNANSWERED));
        assertFalse(health.isUnavailable());
    }

    @Test
    void aCallOnANewConnectionThatIsNotAnsweredWhileNoOtherIsShowsAnOutage() throws Exception {
        health.watchFailed("watch registry", failure(PlatformFault.CONNECTION_LOST));
        Thread.sleep(REPETITION_MS);
        health.failed("probe", failure(PlatformFault.UNANSWERED));
        assertTrue(health.isUnavailable());
        health.succeeded("probe");
        assertEquals(1, recoveries.get());
    }

    @Test
    void aRefusalIsAnOutageAtOnce() {
        health.failed("probe", failure(PlatformFault.REFUSED));
        assertTrue(health.isUnavailable());
    }

    @Test
    void anOutageThatOneRefusedCallShowedIsNoLongerThanTheTimeWithoutAnswers() throws Exception {
        Thread.sleep(REPETITION_MS);
        health.succeeded("watch registry");
        health.failed("update ledger", failure(PlatformFault.REFUSED));
        health.succeeded("probe");
        assertEquals(1, recoveries.get());
        assertTrue(lastUnansweredMs < REPETITION_MS, lastUnansweredMs + " ms");
    }

    @Test
    void anOutageMayHaveBegunRightAfterTheLastAnswer() throws Exception {
        Thread.sleep(REPETITION_MS);
        health.failed("update ledger", failure(PlatformFault.REFUSED));
        health.succeeded("probe");
        assertTrue(lastUnansweredMs >= REPETITION_MS, lastUnansweredMs + " ms");
    }

    @Test
    void aPlatformThatGetsTooManyCallsIsAlive() throws Exception {
        Thread.sleep(REPETITION_MS);
        health.failed("update ledger", failure(PlatformFault.THROTTLED));
        assertFalse(health.isUnavailable());
        health.failed("read registry", failure(PlatformFault.REFUSED));
        health.succeeded("probe");
        assertTrue(lastUnansweredMs < REPETITION_MS, lastUnansweredMs + " ms");
    }

    @Test
    void oneConnectionThatCannotBeOpenedIsNoOutage() {
        health.failed("read ledger", failure(PlatformFault.UNREACHABLE));
        assertFalse(health.isUnavailable());
    }

    @Test
    void callsThatAwaitTheEndOfAnOutageGoOnWithTheFirstAnswerToAnyCall() {
        health.failed("read configuration", failure(PlatformFault.REFUSED));
        health.probeFailed();
        AtomicInteger repeated = new AtomicInteger();
        assertTrue(health.awaitRecovery(repeated::incrementAndGet));
        health.succeeded("probe");
        assertEquals(1, repeated.get());
        assertFalse(health.awaitRecovery(repeated::incrementAndGet));
    }

    @Test
    void callsAwaitTheEndOfAnOutageAlsoWhileTheWatchThatProbesHasNotFailedYet() {
        health.failed("update ledger", failure(PlatformFault.REFUSED));
        AtomicInteger repeated = new AtomicInteger();
        assertTrue(health.awaitRecovery(repeated::incrementAndGet));
        health.failed("probe", failure(PlatformFault.REFUSED));
        assertEquals(0, repeated.get());
        health.succeeded("probe");
        assertEquals(1, repeated.get());
    }

    private static PlatformException failure(PlatformFault fault) {
        return new PlatformException(fault, "no answer");
    }
}
