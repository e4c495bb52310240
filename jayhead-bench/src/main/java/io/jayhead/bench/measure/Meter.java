package io.jayhead.bench.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.DoubleHistogram;

/** Measures cases on the calling thread. */
public final class Meter {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;

    /** More than one, since a first collection can leave objects that only the next one frees. */
    private static final int COLLECTIONS = 3;

    private static final int RETAINED_REPEATS = 3;

    private final MeterSettings settings;
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long resultChecksum;

    /**
     * Creates a meter.
     *
     * @param settings the warm-up, batch length and repeats of a measurement
     */
    public Meter(MeterSettings settings) {
        this.settings = settings;
    }

    /**
     * Measures a case.
     *
     * @param benchCase the case
     * @return the values of its metrics
     */
    public Sample measure(BenchCase benchCase) {
        return new Sample(benchCase.subject(), benchCase.dimension(), benchCase.size(), values(benchCase));
    }

    private Map<Metric, Double> values(BenchCase benchCase) {
        if (benchCase instanceof BenchCase.Timed timed) {
            return timed(timed.setup().get());
        }
        if (benchCase instanceof BenchCase.Retained retained) {
            return Map.of(Metric.RETAINED_BYTES, retained(retained.build()));
        }
        BenchCase.Encoded encoded = (BenchCase.Encoded) benchCase;
        return Map.of(Metric.ENCODED_BYTES, (double) encoded.bytes().getAsInt());
    }

    private Map<Metric, Double> timed(Operation operation) {
        int operations = warmUp(operation);
        DoubleHistogram nanosPerOperation = new DoubleHistogram(SIGNIFICANT_DIGITS);
        DoubleHistogram bytesPerOperation = new DoubleHistogram(SIGNIFICANT_DIGITS);
        long threadId = Thread.currentThread().getId();
        for (int repeat = 0; repeat < settings.repeats(); repeat++) {
            long startBytes = threads.getThreadAllocatedBytes(threadId);
            long startNanos = threads.getCurrentThreadCpuTime();
            run(operation, operations);
            nanosPerOperation.recordValue((double) (threads.getCurrentThreadCpuTime() - startNanos) / operations);
            bytesPerOperation.recordValue(
                    (double) (threads.getThreadAllocatedBytes(threadId) - startBytes) / operations);
        }
        return Map.of(
                Metric.PROCESSOR_NANOS, median(nanosPerOperation), Metric.ALLOCATED_BYTES, median(bytesPerOperation));
    }

    /** Runs the operation until the warm-up time is over and returns how many operations fill a batch. */
    private int warmUp(Operation operation) {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(settings.warmUpMs());
        long startNanos = threads.getCurrentThreadCpuTime();
        int operations = 0;
        long elapsedNanos;
        do {
            run(operation, 1);
            operations++;
            elapsedNanos = threads.getCurrentThreadCpuTime() - startNanos;
        } while (elapsedNanos < limitNanos);
        double batchesPerWarmUp =
                (double) TimeUnit.MILLISECONDS.toNanos(settings.batchMs()) / Math.max(1, elapsedNanos);
        return (int) Math.max(1, operations * batchesPerWarmUp);
    }

    private void run(Operation operation, int operations) {
        for (int index = 0; index < operations; index++) {
            resultChecksum += System.identityHashCode(operation.run()) & 1;
        }
    }

    private double retained(Supplier<Object> build) {
        DoubleHistogram bytes = new DoubleHistogram(SIGNIFICANT_DIGITS);
        for (int repeat = 0; repeat < RETAINED_REPEATS; repeat++) {
            bytes.recordValue(Math.max(0, retainedOnce(build)));
        }
        return median(bytes);
    }

    /**
     * Returns the heap bytes that one build of a state keeps alive. A separate method, because in an interpreted frame
     * a local variable that is no longer used still keeps its object alive.
     */
    private static long retainedOnce(Supplier<Object> build) {
        long beforeBytes = usedBytes();
        Object state = build.get();
        long afterBytes = usedBytes();
        Reference.reachabilityFence(state);
        return afterBytes - beforeBytes;
    }

    /**
     * Returns a checksum that depends on all results, so that the JIT compiler cannot remove the measured operations.
     *
     * @return the checksum
     */
    public long resultChecksum() {
        return resultChecksum;
    }

    private static long usedBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static double median(DoubleHistogram histogram) {
        return histogram.getValueAtPercentile(MEDIAN_PERCENTILE);
    }
}
