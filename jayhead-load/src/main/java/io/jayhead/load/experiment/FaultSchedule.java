package io.jayhead.load.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Causes the fault of an experiment while requests arrive. */
final class FaultSchedule implements AutoCloseable {

    private static final int PARTS = 3;
    private static final long MS_PER_SECOND = 1_000;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final LocalFleet fleet;
    private final Operators operators;
    private final long partMs;

    FaultSchedule(LocalFleet fleet, Operators operators, int durationS) {
        this.fleet = fleet;
        this.operators = operators;
        this.partMs = durationS * MS_PER_SECOND / PARTS;
    }

    /** Plans begin and end of the fault from now on. */
    void start(Fault fault) {
        switch (fault) {
            case CALM -> scheduler.shutdown();
            case ROUTER_KILLED -> begin(() -> fleet.firstRouter().kill());
            case ROUTER_FROZEN -> {
                begin(() -> fleet.firstRouter().signal("STOP"));
                end(() -> fleet.firstRouter().signal("CONT"));
            }
            case PLATFORM_OUTAGE -> begin(() -> standinFault(fleet.platform(), "outage", partMs));
            case PARTITION -> {
                begin(fleet.partition()::shut);
                end(fleet.partition()::open);
            }
            case ENGINE_DIES -> begin(() -> standinFault(fleet.engines().get(0), "die", 0));
            default -> throw new IllegalArgumentException("no schedule for " + fault);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private void standinFault(String standin, String fault, long durationMs) {
        try {
            operators.fault(standin, fault, durationMs);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot cause " + fault, e);
        }
    }

    private void begin(Runnable action) {
        scheduler.schedule(action, partMs, TimeUnit.MILLISECONDS);
    }

    private void end(Runnable action) {
        scheduler.schedule(action, 2 * partMs, TimeUnit.MILLISECONDS);
    }
}
