package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against the end of an outage that is noticed late because calls of the outage still wait, and against an
 * outage that these calls show after it has ended.
 */
class LivenessProbeTest {

    private static final long REPETITION_MS = 300;

    private final PlatformHealth health = new PlatformHealth(
            new StructuredLog(new PrintStream(OutputStream.nullOutputStream())),
            new GatewayMetrics(),
            unansweredMs -> {});
    private final List<CompletableFuture<Void>> calls = new ArrayList<>();
    private final LivenessProbe probe = new LivenessProbe(this::call, health);

    @Test
    void aPlatformThatAnswersOtherCallsIsNotProbed() {
        probe.check();
        assertEquals(0, calls.size());
    }

    @Test
    void theEndOfAnOutageIsNoticedAlthoughEarlierProbesStillWait() {
        losePlatform();
        health.probeFailed();
        probe.check();
        probe.check();
        assertEquals(2, calls.size());
        calls.get(1).complete(null);
        assertFalse(health.isUnavailable());
    }

    @Test
    void probesThatFailAfterTheOutageShowNoOther() throws Exception {
        losePlatform();
        for (int check = 0; check < 3; check++) {
            probe.check();
        }
        calls.get(2).complete(null);
        calls.get(0).completeExceptionally(unanswered());
        Thread.sleep(REPETITION_MS);
        calls.get(1).completeExceptionally(unanswered());
        assertFalse(health.isUnavailable());
    }

    private void losePlatform() {
        health.failed("read configuration", new PlatformException(PlatformFault.REFUSED, "the platform is down"));
        assertTrue(health.isUnavailable());
    }

    private static PlatformException unanswered() {
        return new PlatformException(PlatformFault.UNANSWERED, "no answer");
    }

    private CompletableFuture<Void> call() {
        CompletableFuture<Void> next = new CompletableFuture<>();
        calls.add(next);
        return next;
    }
}
