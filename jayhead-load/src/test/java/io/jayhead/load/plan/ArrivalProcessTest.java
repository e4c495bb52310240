package io.jayhead.load.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ArrivalProcessTest {

    private static long[] arrivalsNs(long seed) {
        ArrivalProcess arrivals = new ArrivalProcess(seed, 200);
        return LongStream.generate(arrivals::nextNs).limit(20_000).toArray();
    }

    /** Guards against arrivals that do not depend on the seed alone, so that a run cannot be repeated. */
    @Test
    void theSameSeedGivesTheSameArrivals() {
        assertEquals(
                LongStream.of(arrivalsNs(7)).boxed().toList(),
                LongStream.of(arrivalsNs(7)).boxed().toList());
        assertNotEquals(arrivalsNs(7)[0], arrivalsNs(8)[0]);
    }

    /**
     * Guards against a wrong unit and a wrong distribution: the standard deviation of Poisson gaps equals their mean.
     */
    @Test
    void gapsHaveTheMeanAndTheDeviationOfAPoissonProcess() {
        long[] timesNs = arrivalsNs(7);
        double meanNs = timesNs[timesNs.length - 1] / (double) timesNs.length;
        double variance = 0;
        for (int i = 1; i < timesNs.length; i++) {
            variance += Math.pow(timesNs[i] - timesNs[i - 1] - meanNs, 2) / timesNs.length;
        }
        assertEquals(5e6, meanNs, 0.15e6);
        assertEquals(1, Math.sqrt(variance) / meanNs, 0.05);
    }
}
