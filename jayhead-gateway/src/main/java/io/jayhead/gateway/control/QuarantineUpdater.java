package io.jayhead.gateway.control;

import io.jayhead.admission.quarantine.PartCrashes;
import io.jayhead.admission.quarantine.PromptQuarantine;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.quarantine.PromptTrial;
import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Shares with all routers under which parts of prompts upstreams ended, through one object of the platform for each
 * part; used by the control thread.
 *
 * <p>What this router has seen counts at once, also while the platform does not answer, and is recorded until the
 * platform has acknowledged it.
 */
final class QuarantineUpdater {

    private static final String RECORD_TRIAL = "record trial";

    private final PlatformClient platform;
    private final PlatformHealth health;
    private final EventLoop loop;
    private final StructuredLog log;
    private final Consumer<PromptQuarantine> listener;
    private final Backoff backoff = new Backoff();
    private final Map<String, Long> revisions = new HashMap<>();
    /** What this router has seen and the platform has not acknowledged. */
    private final Map<String, PartCrashes> unrecorded = new LinkedHashMap<>();

    private final Set<String> removalsInFlight = new HashSet<>();
    private final Set<String> trialsInFlight = new HashSet<>();
    private boolean recordInFlight;
    private PromptQuarantine quarantine = PromptQuarantine.empty();

    QuarantineUpdater(
            PlatformClient platform,
            PlatformHealth health,
            EventLoop loop,
            StructuredLog log,
            Consumer<PromptQuarantine> listener) {
        this.platform = platform;
        this.health = health;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
    }

    /** Adds upstreams that this router saw end. */
    void crashed(List<PartCrashes> seen) {
        PromptQuarantine next = quarantine;
        for (PartCrashes crashes : seen) {
            unrecorded.merge(crashes.part(), crashes, PartCrashes::merge);
            next = add(next, crashes);
        }
        publish(next);
        recordNext();
    }

    /** Removes the record of a part under which an upstream has answered. */
    void answered(String part) {
        unrecorded.remove(part);
        if (!revisions.containsKey(part)) {
            publish(quarantine.without(part));
            return;
        }
        remove(part);
    }

    /**
     * Decides whether one request with a blocked part may be sent, and records it first. The revision lets only one
     * router take a trial; a call without an answer may have taken it, so that nobody has it.
     */
    void requestTrial(String part, Consumer<Optional<PromptTrial>> decided) {
        if (!isTrialDue(part) || !trialsInFlight.add(part)) {
            decided.accept(Optional.empty());
            return;
        }
        PromptTrial trial = new PromptTrial(
                part, Long.toHexString(ThreadLocalRandom.current().nextLong()));
        PartCrashes tried = quarantine.find(part).orElseThrow().withTrial(trial.id());
        platform.replaceCrashes(tried, revisions.get(part)).whenComplete((stored, failure) -> {
            trialsInFlight.remove(part);
            if (failure != null) {
                health.failed(RECORD_TRIAL, failure);
                decided.accept(Optional.empty());
                return;
            }
            health.succeeded(RECORD_TRIAL);
            publish(stored(quarantine, stored));
            boolean taken = stored.crashes().trials().contains(trial.id());
            log.write(LogKind.STATE, "prompt part tried", "part", part, "taken", taken);
            decided.accept(taken ? Optional.of(trial) : Optional.empty());
        });
    }

    private boolean isTrialDue(String part) {
        boolean recorded = revisions.containsKey(part) && !unrecorded.containsKey(part);
        return recorded
                && !health.isUnavailable()
                && quarantine.nextTrialInMs(part, nowMs()).orElse(1) == 0;
    }

    /** Removes records that have not changed for a long time; one router also removes them from the platform. */
    void expire(boolean removesForAll) {
        PromptQuarantine next = quarantine.expired(nowMs());
        if (next == quarantine) {
            return;
        }
        Set<String> expired = new HashSet<>(quarantine.parts());
        expired.removeAll(next.parts());
        publish(next);
        if (removesForAll) {
            expired.stream().filter(revisions::containsKey).forEach(this::remove);
        }
    }

    /** Records all known parts again, since the platform has come back from a copy that may lack them. */
    void restored() {
        revisions.clear();
        quarantine
                .parts()
                .forEach(part -> unrecorded.put(part, quarantine.find(part).orElseThrow()));
    }

    /** Takes over all records of the platform. */
    void listed(CrashListing listing) {
        List<String> parts = listing.records().stream()
                .map(stored -> stored.crashes().part())
                .toList();
        PromptQuarantine next = quarantine.retaining(parts);
        revisions.clear();
        for (StoredCrashes stored : listing.records()) {
            revisions.put(stored.crashes().part(), stored.revision());
            next = next.with(stored.crashes(), nowMs());
            unrecorded.computeIfPresent(stored.crashes().part(), (part, seen) -> unstored(seen, stored));
        }
        for (PartCrashes crashes : unrecorded.values()) {
            next = add(next, crashes);
        }
        publish(next);
        recordNext();
    }

    /** Returns what a stored record lacks; null if nothing. */
    private static PartCrashes unstored(PartCrashes seen, StoredCrashes stored) {
        return stored.crashes().merge(seen).equals(stored.crashes()) ? null : seen;
    }

    /** Takes over changes that the platform reports. */
    void changed(CrashChanges changes) {
        PromptQuarantine next = quarantine;
        for (CrashChange change : changes.changes()) {
            next = change.stored().isPresent() ? stored(next, change.stored().get()) : removed(next, change.part());
        }
        publish(next);
    }

    private PromptQuarantine stored(PromptQuarantine base, StoredCrashes stored) {
        String part = stored.crashes().part();
        if (stored.revision() <= revisions.getOrDefault(part, 0L)) {
            return base;
        }
        revisions.put(part, stored.revision());
        PromptQuarantine next = base.with(stored.crashes(), nowMs());
        return unrecorded.containsKey(part) ? add(next, unrecorded.get(part)) : next;
    }

    private PromptQuarantine removed(PromptQuarantine base, String part) {
        revisions.remove(part);
        PromptQuarantine next = base.without(part);
        return unrecorded.containsKey(part) ? add(next, unrecorded.get(part)) : next;
    }

    private PromptQuarantine add(PromptQuarantine base, PartCrashes crashes) {
        PartCrashes known =
                base.find(crashes.part()).map(found -> found.merge(crashes)).orElse(crashes);
        return base.with(known, nowMs());
    }

    /**
     * Records one part at a time, the deepest first: whenever a part that many prompts share is blamed for an end, so
     * is the part that came with it and that fewer prompts share.
     */
    private void recordNext() {
        Optional<PartCrashes> deepest = unrecorded.values().stream().max(Comparator.comparingInt(PartCrashes::depth));
        if (recordInFlight || deepest.isEmpty()) {
            return;
        }
        recordInFlight = true;
        platform.recordCrashes(deepest.get()).whenComplete((stored, failure) -> {
            recordInFlight = false;
            if (failure != null) {
                retryRecord(failure);
                return;
            }
            health.succeeded("record crashes");
            backoff.reset();
            unrecorded.remove(deepest.get().part(), deepest.get());
            publish(stored(quarantine, stored));
            recordNext();
        });
    }

    private void retryRecord(Throwable failure) {
        health.failed("record crashes", failure);
        if (!health.awaitRecovery(this::recordNext)) {
            loop.schedule(this::recordNext, backoff.next(), TimeUnit.MILLISECONDS);
        }
    }

    private void remove(String part) {
        if (health.isUnavailable() || !removalsInFlight.add(part)) {
            return;
        }
        // The revision keeps ends from being removed that other routers have recorded meanwhile.
        platform.removeCrashes(part, revisions.get(part)).whenComplete((removed, failure) -> {
            removalsInFlight.remove(part);
            if (failure != null) {
                health.failed("remove crashes", failure);
                return;
            }
            health.succeeded("remove crashes");
            if (removed) {
                publish(removed(quarantine, part));
            }
        });
    }

    private void publish(PromptQuarantine next) {
        Set<String> before = quarantine.blocked();
        quarantine = next;
        next.blocked().stream()
                .filter(part -> !before.contains(part))
                .forEach(part -> log.write(
                        LogKind.STATE,
                        "prompt part blocked",
                        "part",
                        part,
                        "ended_upstreams",
                        next.find(part).map(PartCrashes::upstreams).orElse(Set.of())));
        before.stream()
                .filter(part -> !next.blocked().contains(part))
                .forEach(part -> log.write(LogKind.STATE, "prompt part allowed", "part", part));
        listener.accept(next);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
