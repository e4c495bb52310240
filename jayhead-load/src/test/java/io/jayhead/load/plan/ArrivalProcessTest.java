package io.jayhead.load.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ArrivalProcessTest {

    private static long[] times(long seed) {
        ArrivalProcess arrivals = new ArrivalProcess(seed, 200);
        return LongStream.generate(arrivals::nextNs).limit(20_000).toArray();
    }

    /** Guards against runs that cannot be repeated. */
    @Test
    void theSameSeedGivesTheSameArrivals() {
        assertEquals(
                LongStream.of(times(7)).boxed().toList(),
                LongStream.of(times(7)).boxed().toList());
        assertNotEquals(times(7)[0], times(8)[0]);
    }

    /** Guards against a wrong unit or a process that is not Poisson: its gaps have a deviation equal to their mean. */
    @Test
    void gapsHaveTheMeanAndTheDeviationOfAPoissonProcess() {
        long[] times = times(7);
        double meanNs = times[times.length - 1] / (double) times.length;
        double variance = 0;
        for (int i = 1; i < times.length; i++) {
            variance += Math.pow(times[i] - times[i - 1] - meanNs, 2) / times.length;
        }
        assertEquals(5e6, meanNs, 0.15e6);
        assertEquals(1, Math.sqrt(variance) / meanNs, 0.05);
    }
}
