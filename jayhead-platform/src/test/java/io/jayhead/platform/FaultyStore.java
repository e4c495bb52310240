package io.jayhead.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Keeps objects in memory; refuses calls, loses replies and delays writes at random. */
final class FaultyStore implements ObjectStore {

    final Map<String, StoredObject> objects = new HashMap<>();
    int effects;
    private final Random random;
    private final int faultPercent;
    private Supplier<WriteResult> delayed;
    private long nextVersion = 1;

    FaultyStore(long seed, int faultPercent) {
        this.random = new Random(seed);
        this.faultPercent = faultPercent;
    }

    @Override
    public CompletableFuture<ReadResult> read(String kind, String name) {
        runDelayed();
        if (drawFault()) {
            return done(new ReadResult.Unavailable("test"));
        }
        StoredObject found = objects.get(name);
        return done(found == null ? new ReadResult.Missing() : new ReadResult.Found(found));
    }

    @Override
    public CompletableFuture<WriteResult> create(String kind, String name, String body) {
        return write(() -> objects.containsKey(name) ? new WriteResult.Conflict() : put(name, body));
    }

    @Override
    public CompletableFuture<WriteResult> update(String kind, String name, long expectedVersion, String body) {
        return write(() -> {
            StoredObject found = objects.get(name);
            boolean matches = found != null && found.version() == expectedVersion;
            return matches ? put(name, body) : new WriteResult.Conflict();
        });
    }

    void putByOther(String name, String body) {
        put(name, body);
    }

    void runDelayed() {
        if (delayed != null && random.nextBoolean()) {
            delayed.get();
            delayed = null;
        }
    }

    private CompletableFuture<WriteResult> write(Supplier<WriteResult> effect) {
        runDelayed();
        if (!drawFault()) {
            return done(effect.get());
        }
        switch (random.nextInt(3)) {
            case 0:
                return done(new WriteResult.NotWritten("test", true, 0));
            case 1:
                delayed = effect;
                return done(new WriteResult.Unknown("test"));
            default:
                effect.get();
                return done(new WriteResult.Unknown("test"));
        }
    }

    private WriteResult put(String name, String body) {
        effects++;
        long version = nextVersion++;
        objects.put(name, new StoredObject(name, version, body));
        return new WriteResult.Written(version);
    }

    private boolean drawFault() {
        return random.nextInt(100) < faultPercent;
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletableFuture<WriteResult> delete(String kind, String name, long expectedVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WatchResult> watch(String kind, long sinceRevision, long waitMs) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<VmListResult> listVms() {
        throw new UnsupportedOperationException();
    }
}
