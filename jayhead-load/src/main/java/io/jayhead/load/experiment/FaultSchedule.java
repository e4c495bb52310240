package io.jayhead.load.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Injects the fault of an experiment at fixed times while requests arrive. */
final class FaultSchedule implements AutoCloseable {

    private static final int PHASES = 3;
    private static final long MS_PER_SECOND = 1_000;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final LocalFleet fleet;
    private final OperatorClient operatorClient;
    private final long phaseMs;

    FaultSchedule(LocalFleet fleet, OperatorClient operatorClient, int durationS) {
        this.fleet = fleet;
        this.operatorClient = operatorClient;
        this.phaseMs = durationS * MS_PER_SECOND / PHASES;
    }

    /** Schedules the injection and the end of a fault, counted from now. */
    void start(Fault fault) {
        switch (fault) {
            case CALM -> scheduler.shutdown();
            case ROUTER_KILLED -> scheduleInjection(() -> fleet.firstRouter().kill());
            case ROUTER_FROZEN -> {
                scheduleInjection(() -> fleet.firstRouter().signal("STOP"));
                scheduleEnd(() -> fleet.firstRouter().signal("CONT"));
            }
            case PLATFORM_OUTAGE -> scheduleInjection(() -> injectStandinFault(fleet.platformUrl(), "outage", phaseMs));
            case PARTITION -> {
                scheduleInjection(fleet.partitionGate()::shut);
                scheduleEnd(fleet.partitionGate()::open);
            }
            case ENGINE_DIES ->
                scheduleInjection(() -> injectStandinFault(fleet.engineUrls().get(0), "die", 0));
            default -> throw new IllegalArgumentException("no schedule for " + fault);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private void injectStandinFault(String standinUrl, String fault, long durationMs) {
        try {
            operatorClient.injectFault(standinUrl, fault, durationMs);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot inject " + fault, e);
        }
    }

    private void scheduleInjection(Runnable action) {
        scheduler.schedule(action, phaseMs, TimeUnit.MILLISECONDS);
    }

    private void scheduleEnd(Runnable action) {
        scheduler.schedule(action, 2 * phaseMs, TimeUnit.MILLISECONDS);
    }
}
