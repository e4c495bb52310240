package io.jayhead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.Either;
import java.util.Optional;
import java.util.concurrent.Executor;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes whose reported outcome is wrong.
 *
 * <p>They come about when a reply is lost although the write took effect, or when a delayed write takes effect later.
 */
class ConfirmedWritesTest {

    private static final Executor DIRECT_EXECUTOR = Runnable::run;

    private static RetryPolicy policy(int attempts) {
        return new RetryPolicy(attempts, new Backoff(1, 1), () -> 0.5, delayMs -> DIRECT_EXECUTOR);
    }

    /** Guards against a lost reply that is taken for a refusal, and against a definite result that is wrong. */
    @Property(tries = 20_000)
    void aDefiniteResultOfACreateIsTrue(
            @ForAll long seed,
            @ForAll @IntRange(max = 80) int faultPercent,
            @ForAll @IntRange(min = 1, max = 6) int attempts,
            @ForAll boolean createdByOther) {
        FaultyStore store = new FaultyStore(seed, faultPercent);
        if (createdByOther) {
            store.putByOther("x", "foreign");
        }
        WriteResult result = new ConfirmedWrites(store, policy(attempts))
                .create("claim", "x", "mine", "mine"::equals)
                .join();
        boolean mine = storesBody(store, "mine");
        assertTrue(store.effects <= 1, "the create took effect although the object existed");
        if (result instanceof WriteResult.Written written) {
            assertTrue(mine);
            assertEquals(store.objects.get("x").version(), written.version());
        }
        if (result instanceof WriteResult.Conflict || result instanceof WriteResult.NotWritten) {
            store.runDelayed();
            store.runDelayed();
            store.runDelayed();
            assertFalse(storesBody(store, "mine"));
        }
    }

    /** Guards against an edit that is lost or applied twice when replies are lost. */
    @Property(tries = 1000)
    void editsThatAreReportedAsDoneAreInTheObjectOnce(@ForAll long seed, @ForAll @IntRange(max = 60) int faultPercent) {
        FaultyStore store = new FaultyStore(seed, faultPercent);
        ObjectEditor editor = new ObjectEditor(store, policy(8));
        for (int i = 0; i < 5; i++) {
            String marker = "<" + i + ">";
            EditResult<String> result = editor.<String>edit(
                            "budget",
                            "x",
                            body -> Either.right(body.orElse("") + marker),
                            (sent, current) -> current.contains(marker))
                    .join();
            String body =
                    store.objects.containsKey("x") ? store.objects.get("x").body() : "";
            int count = body.split(marker, -1).length - 1;
            assertTrue(count <= 1, body);
            if (result instanceof EditResult.Edited) {
                assertEquals(1, count);
            }
            if (result instanceof EditResult.Unavailable || result instanceof EditResult.Contended) {
                assertEquals(0, count);
            }
        }
    }

    @Test
    void anEditThatRefusesWritesNothing() {
        FaultyStore store = new FaultyStore(1, 0);
        EditResult<String> result = new ObjectEditor(store, policy(3))
                .<String>edit("budget", "x", (Optional<String> body) -> Either.left("no"))
                .join();
        assertEquals(new EditResult.Refused<>("no"), result);
        assertTrue(store.objects.isEmpty());
    }

    @Test
    void anEditGivesUpAfterTheBoundOfConflicts() {
        FaultyStore store = new FaultyStore(1, 0);
        EditResult<String> result = new ObjectEditor(store, policy(3))
                .<String>edit("budget", "x", body -> {
                    store.putByOther("x", "foreign" + store.effects);
                    return Either.right("mine");
                })
                .join();
        assertInstanceOf(EditResult.Contended.class, result);
        assertEquals(3, store.effects);
    }

    private static boolean storesBody(FaultyStore store, String body) {
        StoredObject found = store.objects.get("x");
        return found != null && found.body().equals(body);
    }
}
