package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against placement by the speed of another service: rates that are not learned, or spoilt by odd answers. */
class ServiceRatesTest {

    private static final long SEED = 44;
    private static final double MS_PER_TOKEN = 1 / 125.0;
    private static final double MS_PER_REQUEST = 0.8;
    private static final double BASE_MS = 35;

    private final Random random = new Random(SEED);

    @Test
    void withoutAnswersTheDefaultsHold() {
        assertEquals(25 + 100 + 30, ServiceRates.defaults().firstEventMs(5_600, 10), 1e-9);
        assertEquals(0, ServiceRates.defaults().queueMs(100, 16));
        assertEquals(20, ServiceRates.defaults().expectedPlainCallMs());
    }

    @Test
    void theRatesOfAFastServiceAreLearnedFromSomeTensOfAnswers() {
        assertLearned(afterAnswers(60, 0), 0.15);
    }

    @Test
    void theRatesAreKeptWhenSomeAnswersWaitInAQueue() {
        assertLearned(afterAnswers(200, 0.1), 0.35);
    }

    @Test
    void ratesThatHaveChangedAreLearnedAnew() {
        ServiceRates rates = afterAnswers(100, 0);
        long nowMs = 60_000;
        for (int answer = 0; answer < 60; answer++) {
            ExpectedWork work = work(rates);
            nowMs += 100;
            rates = rates.withFirstEvent(3 * measuredMs(work), work, nowMs);
        }
        assertEquals(3 * MS_PER_TOKEN * 5_000, rates.readMs(5_000), 0.25 * 3 * MS_PER_TOKEN * 5_000);
    }

    @Test
    void aGenerationWaitsOnlyWhereNoSlotIsFree() {
        ServiceRates rates = ServiceRates.defaults().withStream(1_600, 0);
        assertEquals(0, rates.queueMs(15, 16));
        assertEquals(100, rates.queueMs(16, 16));
        assertEquals(500, rates.queueMs(20, 16));
    }

    private ServiceRates afterAnswers(int answers, double queuedShare) {
        ServiceRates rates = ServiceRates.defaults();
        for (int answer = 0; answer < answers; answer++) {
            ExpectedWork work = work(rates);
            double queueMs = random.nextDouble() < queuedShare ? 500 : 0;
            rates = rates.withFirstEvent(measuredMs(work) + queueMs, work, 100L * answer);
        }
        return rates;
    }

    private ExpectedWork work(ServiceRates rates) {
        long tokens = 500 + random.nextInt(12_000);
        int requests = 1 + random.nextInt(16);
        return new ExpectedWork(tokens, requests, rates.firstEventMs(tokens, requests));
    }

    private double measuredMs(ExpectedWork work) {
        double usualMs = BASE_MS + MS_PER_TOKEN * work.tokensToRead() + MS_PER_REQUEST * work.requests();
        return usualMs * (0.8 + 0.4 * random.nextDouble());
    }

    private static void assertLearned(ServiceRates rates, double tolerance) {
        for (int tokens : new int[] {1_000, 5_000, 12_000}) {
            double usualMs = BASE_MS + MS_PER_TOKEN * tokens + MS_PER_REQUEST * 8;
            assertEquals(usualMs, rates.firstEventMs(tokens, 8), tolerance * usualMs);
        }
        double defaultMs = ServiceRates.defaults().readMs(5_000);
        assertTrue(rates.readMs(5_000) < 0.7 * defaultMs, "the time to read is not learned: " + rates.readMs(5_000));
    }
}
