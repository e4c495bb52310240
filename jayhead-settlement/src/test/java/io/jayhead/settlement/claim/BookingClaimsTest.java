package io.jayhead.settlement.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against bookings that run twice, and against callers that are told a wrong outcome.
 *
 * <p>Several routers may receive requests with the same key. Writes of the claim may be delayed, refused or unanswered,
 * so a router cannot always tell whether another one has dispatched the booking.
 */
class BookingClaimsTest {

    /** Guards against a booking that runs twice, and against the verdict "not run" for a booking that ran. */
    @Property(tries = 20_000)
    void aBookingIsDispatchedAgainOnlyIfAllEarlierDispatchesCertainlyDidNotRun(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int routers) {
        Simulation simulation = new Simulation(new Random(seed), routers);
        for (int i = 0; i < 80; i++) {
            simulation.step();
        }
        for (Booking booking : simulation.bookings) {
            assertTrue(booking.dispatches <= 1, "one attempt dispatched twice");
            for (ClaimCommand answer : booking.answers) {
                if (answer instanceof ClaimCommand.Refuse refuse
                        && refuse.verdict().isNotRun()) {
                    assertFalse(booking.ran, "the caller was told that the booking did not run, but it ran");
                }
                if (answer instanceof ClaimCommand.AnswerStored stored) {
                    assertEquals(simulation.answer, stored.body());
                }
            }
            assertTrue(booking.answers.size() <= 1, "the caller was answered more than once");
        }
    }

    @Test
    void anotherBodyWithTheSameKeyIsRefused() {
        Transition<BookingState, ClaimCommand> start = BookingClaims.start(ClaimSettings.standard(), claim("n1", "b1"));
        BookingState reading = BookingClaims.handle(start.state(), new ClaimEvent.ClaimConflict())
                .state();
        ClaimEvent read = new ClaimEvent.ClaimRead(0, Optional.of(claim("n2", "b2")), 1);
        ClaimCommand.Refuse refusal = (ClaimCommand.Refuse)
                BookingClaims.handle(reading, read).commands().get(0);
        assertEquals(ErrorCode.KEY_REUSED, refusal.code());
        assertTrue(refusal.verdict().isNotRun());
    }

    /** Guards against a caller that waits for an outcome that the platform cannot store. */
    @Test
    void theAnswerWaitsForItsOutcomeOnlyForABoundedTime() {
        BookingState state =
                BookingClaims.start(ClaimSettings.standard(), claim("n1", "b1")).state();
        state = BookingClaims.handle(state, new ClaimEvent.ClaimCreated(1)).state();
        state = BookingClaims.handle(state, new ClaimEvent.CallFinished(1_000, 201, "ok"))
                .state();
        assertEquals(
                List.of(),
                BookingClaims.handle(state, new ClaimEvent.Tick(1_499)).commands());
        assertEquals(
                List.of(new ClaimCommand.AnswerFresh(201, "ok")),
                BookingClaims.handle(state, new ClaimEvent.Tick(1_500)).commands());
    }

    /**
     * Guards against records that change on the way through their text, and against answers that are stored in part.
     */
    @Property(tries = 200)
    void aRecordSurvivesItsTextAndLargeAnswersAreNotCut(@ForAll String body) {
        ClaimRecord claim = claim("n", "digest").ran(StoredAnswer.of(201, body));
        assertEquals(claim, ClaimRecordCodec.decode(ClaimRecordCodec.encode(claim)));
        ClaimRecord released = claim("n", "digest").released(NotRunProof.CONNECT_FAILED);
        assertEquals(released, ClaimRecordCodec.decode(ClaimRecordCodec.encode(released)));
        assertEquals(
                Optional.empty(),
                StoredAnswer.of(201, "ä".repeat(32 * 1024 + 1)).body());
    }

    private static ClaimRecord claim(String nonce, String digest) {
        return ClaimRecord.claimed(nonce, IncarnationId.of("i"), digest, 0);
    }

    private static final class Booking {
        final List<ClaimCommand> commands = new ArrayList<>();
        final List<ClaimCommand> answers = new ArrayList<>();
        BookingState state;
        int dispatches;
        boolean ran;
    }

    /** Runs bookings with the same key at several routers against one claim object. */
    private static final class Simulation {
        final List<Booking> bookings = new ArrayList<>();
        final Random random;
        final List<Runnable> delayedWrites = new ArrayList<>();
        final int routers;
        ClaimRecord stored;
        long version;
        String answer;
        boolean mayHaveRun;

        Simulation(Random random, int routers) {
            this.random = random;
            this.routers = routers;
        }

        void step() {
            if (bookings.size() < routers || random.nextInt(20) == 0) {
                Booking booking = new Booking();
                bookings.add(booking);
                accept(booking, BookingClaims.start(ClaimSettings.standard(), claim("n" + bookings.size(), "digest")));
                return;
            }
            if (!delayedWrites.isEmpty() && random.nextInt(4) == 0) {
                delayedWrites.remove(random.nextInt(delayedWrites.size())).run();
                return;
            }
            Booking booking = bookings.get(random.nextInt(bookings.size()));
            if (booking.commands.isEmpty()) {
                handle(booking, new ClaimEvent.Tick(random.nextInt(2_000)));
                return;
            }
            run(booking, booking.commands.remove(0));
        }

        private void run(Booking booking, ClaimCommand command) {
            if (command instanceof ClaimCommand.CreateClaim create) {
                write(booking, 0, create.claim(), true);
            } else if (command instanceof ClaimCommand.RetakeReleasedClaim retake) {
                write(booking, retake.expectedVersion(), retake.claim(), true);
            } else if (command instanceof ClaimCommand.StoreOutcome store) {
                write(booking, store.expectedVersion(), store.claim(), false);
            } else if (command instanceof ClaimCommand.ReleaseClaim release) {
                write(booking, release.expectedVersion(), release.claim(), false);
            } else if (command instanceof ClaimCommand.ReadClaim) {
                ClaimEvent read =
                        new ClaimEvent.ClaimRead(random.nextInt(20_000), Optional.ofNullable(stored), version);
                handle(booking, random.nextInt(5) == 0 ? new ClaimEvent.PlatformDown() : read);
            } else if (command instanceof ClaimCommand.Dispatch) {
                dispatch(booking);
            } else {
                booking.answers.add(command);
            }
        }

        private void dispatch(Booking booking) {
            assertFalse(mayHaveRun, "dispatched although an earlier dispatch may have run");
            booking.dispatches++;
            int outcome = random.nextInt(3);
            mayHaveRun = outcome != 0;
            if (outcome == 0) {
                handle(booking, new ClaimEvent.CallNotRun(0, NotRunProof.UPSTREAM_REFUSED));
            } else if (outcome == 1) {
                booking.ran = true;
                answer = "answer of " + bookings.indexOf(booking);
                handle(booking, new ClaimEvent.CallFinished(0, 201, answer));
            } else {
                booking.ran = true;
                handle(booking, new ClaimEvent.CallOutcomeUnknown());
            }
        }

        private void write(Booking booking, long expectedVersion, ClaimRecord claim, boolean claiming) {
            int fault = random.nextInt(5);
            if (fault == 0) {
                handle(booking, new ClaimEvent.PlatformDown());
                return;
            }
            if (fault == 1) {
                delayedWrites.add(() -> apply(expectedVersion, claim));
            }
            boolean written = fault != 1 && apply(expectedVersion, claim);
            boolean unanswered = fault <= 2;
            if (!claiming) {
                handle(booking, unanswered ? new ClaimEvent.OutcomeStoreFailed() : new ClaimEvent.OutcomeStored());
            } else if (unanswered) {
                handle(booking, new ClaimEvent.ClaimWriteUnanswered());
            } else {
                handle(booking, written ? new ClaimEvent.ClaimCreated(version) : new ClaimEvent.ClaimConflict());
            }
        }

        private boolean apply(long expectedVersion, ClaimRecord claim) {
            if (version != expectedVersion) {
                return false;
            }
            stored = claim;
            version++;
            return true;
        }

        private void handle(Booking booking, ClaimEvent event) {
            accept(booking, BookingClaims.handle(booking.state, event));
        }

        private void accept(Booking booking, Transition<BookingState, ClaimCommand> transition) {
            booking.state = transition.state();
            booking.commands.addAll(transition.commands());
        }
    }
}
