package io.jayhead.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Performs conditional writes and finds out by reading back whether a write without a reply took effect.
 *
 * <p>The write is sent again, with the same condition and body, only after a read showed that it has not taken
 * effect. Of two copies that reach the platform, the later one then fails on the condition. A conflict that follows
 * an unanswered attempt is read back too, because that attempt may be the write that caused it. Once an attempt was
 * unanswered, a later definite refusal does not make the result definite.
 *
 * <p>The predicate says whether a body contains this write. It should look for a nonce that later writers keep;
 * otherwise a write that took effect and was overwritten before the read is reported as a conflict.
 */
public final class ConfirmedWrites {

    private static final long NO_VERSION = -1;

    private final ObjectStore store;
    private final RetryPolicy policy;

    /**
     * Creates a writer.
     *
     * @param store the object store
     * @param policy the maximum of attempts and the delays between them
     */
    public ConfirmedWrites(ObjectStore store, RetryPolicy policy) {
        this.store = store;
        this.policy = policy;
    }

    /**
     * Creates an object if there is none of that name.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param body the content with a nonce
     * @param isMine tells whether a body read back comes from this write
     * @return the outcome; unknown only if the platform gave no clear answer in all attempts
     */
    public CompletableFuture<WriteResult> create(String kind, String name, String body, Predicate<String> isMine) {
        return new Write(kind, name, NO_VERSION, () -> store.create(kind, name, body), isMine).send(1, false);
    }

    /**
     * Replaces an object if it still has the expected version.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param expectedVersion the version that was read
     * @param body the content with a nonce
     * @param isMine tells whether a body read back comes from this write
     * @return the outcome; unknown only if the platform gave no clear answer in all attempts
     */
    public CompletableFuture<WriteResult> update(
            String kind, String name, long expectedVersion, String body, Predicate<String> isMine) {
        Supplier<CompletableFuture<WriteResult>> call = () -> store.update(kind, name, expectedVersion, body);
        return new Write(kind, name, expectedVersion, call, isMine).send(1, false);
    }

    /** One write; {@code NO_VERSION} stands for a create. */
    private final class Write {
        private final String kind;
        private final String name;
        private final long expectedVersion;
        private final Supplier<CompletableFuture<WriteResult>> call;
        private final Predicate<String> isMine;

        Write(
                String kind,
                String name,
                long expectedVersion,
                Supplier<CompletableFuture<WriteResult>> call,
                Predicate<String> isMine) {
            this.kind = kind;
            this.name = name;
            this.expectedVersion = expectedVersion;
            this.call = call;
            this.isMine = isMine;
        }

        CompletableFuture<WriteResult> send(int attempt, boolean unanswered) {
            return call.get().thenCompose(result -> {
                if (result instanceof WriteResult.Unknown || result instanceof WriteResult.Conflict && unanswered) {
                    return readBack(attempt, result);
                }
                if (result instanceof WriteResult.NotWritten refusal) {
                    return refused(attempt, unanswered, refusal);
                }
                return done(result);
            });
        }

        private CompletableFuture<WriteResult> refused(
                int attempt, boolean unanswered, WriteResult.NotWritten refusal) {
            if (refusal.retryable() && attempt < policy.maxAttempts()) {
                return policy.after(attempt, refusal.retryAfterMs(), () -> send(attempt + 1, unanswered));
            }
            return done(unanswered ? new WriteResult.Unknown(refusal.reason()) : refusal);
        }

        private CompletableFuture<WriteResult> readBack(int attempt, WriteResult last) {
            return store.read(kind, name).thenCompose(read -> {
                if (read instanceof ReadResult.Found found) {
                    return found(attempt, last, found.object());
                }
                if (read instanceof ReadResult.Missing) {
                    return missing(attempt, last);
                }
                return attempt < policy.maxAttempts()
                        ? policy.after(attempt, 0, () -> readBack(attempt + 1, last))
                        : done(new WriteResult.Unknown("no answer to the read-back"));
            });
        }

        private CompletableFuture<WriteResult> missing(int attempt, WriteResult last) {
            if (expectedVersion != NO_VERSION) {
                return done(new WriteResult.Conflict());
            }
            // A conflict means that the object existed; the deleted object may have been the result of this write.
            return last instanceof WriteResult.Conflict
                    ? done(new WriteResult.Unknown("deleted before the read-back"))
                    : sendAgain(attempt, last);
        }

        private CompletableFuture<WriteResult> found(int attempt, WriteResult last, StoredObject object) {
            if (isMine.test(object.body())) {
                return done(new WriteResult.Written(object.version()));
            }
            return object.version() == expectedVersion ? sendAgain(attempt, last) : done(new WriteResult.Conflict());
        }

        private CompletableFuture<WriteResult> sendAgain(int attempt, WriteResult last) {
            if (attempt < policy.maxAttempts()) {
                return policy.after(attempt, 0, () -> send(attempt + 1, true));
            }
            return done(last instanceof WriteResult.Unknown ? last : new WriteResult.Unknown("attempts used up"));
        }

        private CompletableFuture<WriteResult> done(WriteResult result) {
            return CompletableFuture.completedFuture(result);
        }
    }
}
