package io.jayhead.platform;

import io.jayhead.model.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.Function;

/** Edits objects: reads, applies a pure function, writes conditionally, and starts over on a conflict. */
public final class ObjectEditor {

    private final ObjectStore store;
    private final ConfirmedWrites writes;
    private final RetryPolicy policy;

    /**
     * Creates an editor.
     *
     * @param store the object store
     * @param policy the maximum number of edit attempts and of attempts of each write, with the delays between them
     */
    public ObjectEditor(ObjectStore store, RetryPolicy policy) {
        this.store = store;
        this.writes = new ConfirmedWrites(store, policy);
        this.policy = policy;
    }

    /**
     * Edits an object whose bodies are unique to each write, for example through a nonce.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param change maps the body, or empty if there is no object, to a refusal or the new body
     * @param <R> the type of refusals
     * @return the outcome
     */
    public <R> CompletableFuture<EditResult<R>> edit(
            String kind, String name, Function<Optional<String>, Either<R, String>> change) {
        return edit(kind, name, change, String::equals);
    }

    /**
     * Edits an object and recognises a write without a reply by a marker in the body that later writers keep.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param change maps the body, or empty if there is no object, to a refusal or the new body
     * @param contains tells whether the body read back (second) contains the change in the body sent (first)
     * @param <R> the type of refusals
     * @return the outcome
     */
    public <R> CompletableFuture<EditResult<R>> edit(
            String kind,
            String name,
            Function<Optional<String>, Either<R, String>> change,
            BiPredicate<String, String> contains) {
        return new Edit<>(kind, name, change, contains).attempt(1);
    }

    private final class Edit<R> {
        private final String kind;
        private final String name;
        private final Function<Optional<String>, Either<R, String>> change;
        private final BiPredicate<String, String> contains;

        Edit(
                String kind,
                String name,
                Function<Optional<String>, Either<R, String>> change,
                BiPredicate<String, String> contains) {
            this.kind = kind;
            this.name = name;
            this.change = change;
            this.contains = contains;
        }

        CompletableFuture<EditResult<R>> attempt(int attempt) {
            return store.read(kind, name).thenCompose(read -> {
                if (read instanceof ReadResult.Unavailable unavailable) {
                    return attempt < policy.maxAttempts()
                            ? policy.after(attempt, 0, () -> attempt(attempt + 1))
                            : CompletableFuture.completedFuture(new EditResult.Unavailable<>(unavailable.reason()));
                }
                return change.apply(read.body())
                        .<CompletableFuture<EditResult<R>>>fold(
                                refusal -> CompletableFuture.completedFuture(new EditResult.Refused<>(refusal)),
                                body -> write(read, body).thenCompose(result -> written(attempt, body, result)));
            });
        }

        private CompletableFuture<WriteResult> write(ReadResult read, String body) {
            if (read instanceof ReadResult.Found found) {
                long version = found.object().version();
                return writes.update(kind, name, version, body, current -> contains.test(body, current));
            }
            return writes.create(kind, name, body, current -> contains.test(body, current));
        }

        private CompletableFuture<EditResult<R>> written(int attempt, String body, WriteResult result) {
            if (result instanceof WriteResult.Conflict && attempt < policy.maxAttempts()) {
                return policy.after(attempt, 0, () -> attempt(attempt + 1));
            }
            return CompletableFuture.completedFuture(outcome(attempt, body, result));
        }

        private EditResult<R> outcome(int attempt, String body, WriteResult result) {
            if (result instanceof WriteResult.Written written) {
                return new EditResult.Edited<>(written.version(), body);
            }
            if (result instanceof WriteResult.NotWritten refusal) {
                return new EditResult.Unavailable<>(refusal.reason());
            }
            if (result instanceof WriteResult.Unknown unknown) {
                return new EditResult.Unknown<>(body, unknown.reason());
            }
            return new EditResult.Contended<>(attempt);
        }
    }
}
