package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a request that is forgotten, and against a filter that takes most requests for sent ones. */
class SentRequestsTest {

    private static final int OTHERS = 10_000;

    private final Random random = new Random(1);
    private final SentRequests sent = new SentRequests();

    @Test
    void noRequestIsForgottenUntilTheConnectionIsFull() {
        while (!sent.isFull()) {
            String id = nextId();
            sent.add(id);
            assertTrue(sent.mayContain(id), id);
        }
    }

    @Test
    void fewOtherRequestsAreTakenForSentOnesWhenTheConnectionIsFull() {
        while (!sent.isFull()) {
            sent.add(nextId());
        }
        long mistaken = IntStream.range(0, OTHERS)
                .filter(index -> sent.mayContain(nextId()))
                .count();
        assertTrue(mistaken < OTHERS / 50, mistaken + " of " + OTHERS);
    }

    @Test
    void aNewConnectionHasSentNothing() {
        assertFalse(sent.mayContain(nextId()));
        assertFalse(sent.isFull());
    }

    private String nextId() {
        return "%016x".formatted(random.nextLong());
    }
}
