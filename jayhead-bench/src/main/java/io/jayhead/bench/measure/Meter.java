package io.jayhead.bench.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.DoubleHistogram;

/** Measures on the calling thread. */
public final class Meter {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;

    /** The first collection may leave objects that only a second one can free. */
    private static final int COLLECTIONS = 3;

    private static final int RETAINED_REPEATS = 3;

    private final MeterSettings settings;
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long consumed;

    /**
     * Creates a meter.
     *
     * @param settings the lengths of a measurement
     */
    public Meter(MeterSettings settings) {
        this.settings = settings;
    }

    /**
     * Measures a case.
     *
     * @param bench the case
     * @return its figures
     */
    public Sample measure(BenchCase bench) {
        return new Sample(bench.subject(), bench.dimension(), bench.size(), values(bench));
    }

    private Map<Metric, Double> values(BenchCase bench) {
        if (bench instanceof BenchCase.Timed timed) {
            return timed(timed.setup().get());
        }
        if (bench instanceof BenchCase.Retained retained) {
            return Map.of(Metric.RETAINED_BYTES, retained(retained.build()));
        }
        BenchCase.Encoded encoded = (BenchCase.Encoded) bench;
        return Map.of(Metric.ENCODED_BYTES, (double) encoded.bytes().getAsInt());
    }

    private Map<Metric, Double> timed(Operation operation) {
        int operations = warmUp(operation);
        DoubleHistogram nanos = new DoubleHistogram(SIGNIFICANT_DIGITS);
        DoubleHistogram bytes = new DoubleHistogram(SIGNIFICANT_DIGITS);
        long thread = Thread.currentThread().getId();
        for (int repeat = 0; repeat < settings.repeats(); repeat++) {
            long startBytes = threads.getThreadAllocatedBytes(thread);
            long startNanos = threads.getCurrentThreadCpuTime();
            run(operation, operations);
            nanos.recordValue((double) (threads.getCurrentThreadCpuTime() - startNanos) / operations);
            bytes.recordValue((double) (threads.getThreadAllocatedBytes(thread) - startBytes) / operations);
        }
        return Map.of(Metric.PROCESSOR_NANOS, median(nanos), Metric.ALLOCATED_BYTES, median(bytes));
    }

    /** Returns how many operations take about as long as a batch. */
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
        double share = (double) TimeUnit.MILLISECONDS.toNanos(settings.batchMs()) / Math.max(1, elapsedNanos);
        return (int) Math.max(1, operations * share);
    }

    private void run(Operation operation, int operations) {
        for (int index = 0; index < operations; index++) {
            consumed += System.identityHashCode(operation.run()) & 1;
        }
    }

    private double retained(Supplier<Object> build) {
        DoubleHistogram bytes = new DoubleHistogram(SIGNIFICANT_DIGITS);
        for (int repeat = 0; repeat < RETAINED_REPEATS; repeat++) {
            bytes.recordValue(Math.max(0, retainedOnce(build)));
        }
        return median(bytes);
    }

    /** Runs in a frame of its own, because a dead local variable of an interpreted frame still holds its object. */
    private static long retainedOnce(Supplier<Object> build) {
        long before = usedBytes();
        Object state = build.get();
        long after = usedBytes();
        Reference.reachabilityFence(state);
        return after - before;
    }

    /**
     * Returns a figure that depends on all results.
     *
     * @return the figure
     */
    public long consumed() {
        return consumed;
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
