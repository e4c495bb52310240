package io.jayhead.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Meter;
import io.jayhead.bench.measure.MeterSettings;
import io.jayhead.bench.measure.Metric;
import io.jayhead.bench.measure.Sample;
import io.jayhead.bench.report.MarkdownReport;
import io.jayhead.bench.report.Slope;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SlopesTest {

    private static final int ARRAY_BYTES = 4_000_000;

    private final Meter meter = new Meter(new MeterSettings(1, 1, 3));

    @Test
    void lineThroughExactValuesIsFoundAgain() {
        Slope slope = Slope.fit(List.of(1, 2, 4), List.of(7.0, 9.0, 13.0));
        assertEquals(5, slope.base(), 1e-9);
        assertEquals(2, slope.perUnit(), 1e-9);
    }

    @Test
    void slopeOfOneSizeIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Slope.fit(List.of(3, 3), List.of(1.0, 2.0)));
    }

    /** Guards against allocation that is counted for a whole batch instead of one operation. */
    @Test
    void allocationIsCountedPerOperation() {
        Sample sample = meter.measure(new BenchCase.Timed("array", "bytes", 1_000, () -> () -> new byte[1_000]));
        assertEquals(1_016, sample.values().get(Metric.ALLOCATED_BYTES), 100);
    }

    @Test
    void retainedMemoryIsThatOfTheState() {
        Sample sample = meter.measure(new BenchCase.Retained("array", "bytes", 1, () -> new byte[ARRAY_BYTES]));
        assertEquals(ARRAY_BYTES, sample.values().get(Metric.RETAINED_BYTES), ARRAY_BYTES / 10.0);
    }

    @Test
    void reportListsSamplesAndSlopes() {
        List<Sample> samples = List.of(
                new Sample("object", "entries", 1, Map.of(Metric.ENCODED_BYTES, 150.0)),
                new Sample("object", "entries", 3, Map.of(Metric.ENCODED_BYTES, 350.0)));
        String report = MarkdownReport.of(samples);
        assertTrue(report.contains("| object | 3 | entries |  |  |  | 350 |"), report);
        assertTrue(report.contains("| object | encoded B | 50.00 | 100 | entries |"), report);
    }
}
