package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKey;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Drives one generation against scripted engines and checks its guarantees after each event. */
final class GenerationHarness {

    static final long RESERVED_PROMPT_TOKENS = 20;
    static final long PROMPT_TOKENS = 12;
    static final long MAX_OUTPUT_TOKENS = 8;

    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("generation"));

    final Map<Integer, Stream> streams = new HashMap<>();
    final List<String> delivered = new ArrayList<>();
    final Set<Integer> provenNotRun = new HashSet<>();
    final List<DispatchCommand> commands = new ArrayList<>();
    GenerationState state =
            GenerationState.of(KEY, DispatchLimits.of(60_000, RESERVED_PROMPT_TOKENS, MAX_OUTPUT_TOKENS));
    long nowMs;
    private final Map<UpstreamName, List<String>> answers;
    private final Set<UpstreamName> usedUpstreams = new HashSet<>();
    private long refundedTokens;
    private boolean chargeRecorded;

    GenerationHarness(Map<UpstreamName, List<String>> answers) {
        this.answers = answers;
    }

    /** Produces the events of one attempt in the order in which an engine sends them. */
    static final class Stream {
        final int attempt;
        final List<String> answer;
        int next;
        boolean started;

        Stream(int attempt, List<String> answer, int next) {
            this.attempt = attempt;
            this.answer = answer;
            this.next = next;
        }

        DispatchEvent nextEvent(long nowMs) {
            if (!started) {
                started = true;
                return new DispatchEvent.Started(attempt, PROMPT_TOKENS);
            }
            if (next < answer.size()) {
                return new DispatchEvent.TokenReceived(attempt, next, answer.get(next++), nowMs);
            }
            return new DispatchEvent.Done(attempt, PROMPT_TOKENS, answer.size());
        }
    }

    void handle(DispatchEvent event) {
        recordProof(event);
        chargeRecorded |= hasCommand(DispatchCommand.CommitCharge.class)
                && (event instanceof DispatchEvent.Charged || event instanceof DispatchEvent.ChargeHeld);
        Transition<GenerationState, DispatchCommand> transition = GenerationAttempts.handle(state, event);
        state = transition.state();
        transition.commands().forEach(this::check);
    }

    boolean hasCommand(Class<? extends DispatchCommand> type) {
        return commands.stream().anyMatch(type::isInstance);
    }

    long count(Class<? extends DispatchCommand> type) {
        return commands.stream().filter(type::isInstance).count();
    }

    Optional<Stream> stream(int attempt) {
        return Optional.ofNullable(streams.get(attempt));
    }

    private void recordProof(DispatchEvent event) {
        boolean provesNotRun = event instanceof DispatchEvent.ConnectFailed
                || event instanceof DispatchEvent.Refused refused && refused.definite()
                || event instanceof DispatchEvent.ConnectionBroken broken && !broken.bytesSent();
        if (provesNotRun && event instanceof DispatchEvent.AttemptEvent attemptEvent) {
            stream(attemptEvent.attempt())
                    .filter(stream -> !stream.started)
                    .ifPresent(stream -> provenNotRun.add(stream.attempt));
        }
    }

    private void check(DispatchCommand command) {
        assertFalse(hasCommand(DispatchCommand.Finish.class), "command after the end: " + command);
        commands.add(command);
        if (command instanceof DispatchCommand.Send send) {
            usedUpstreams.add(send.upstream());
            List<String> answer = answers.get(send.upstream());
            streams.put(send.attempt(), new Stream(send.attempt(), answer, (int) send.resumeFromIndex()));
        } else if (command instanceof DispatchCommand.DeliverToken token) {
            assertEquals(delivered.size(), token.index(), "missing or repeated token");
            delivered.add(token.text());
            assertTrue(usedUpstreams.stream().anyMatch(this::isPrefix), "mixed answers: " + delivered);
        } else if (command instanceof DispatchCommand.RefundPrompt refund) {
            refundedTokens += refund.tokens();
        } else if (command instanceof DispatchCommand.CommitCharge charge) {
            assertEquals(1, count(DispatchCommand.CommitCharge.class), "charged twice");
            assertTrue(charge.promptTokens() <= RESERVED_PROMPT_TOKENS - refundedTokens, "above the reservation");
            assertTrue(charge.outputTokens() <= MAX_OUTPUT_TOKENS, "above the reservation");
            assertTrue(charge.outputTokens() >= delivered.size(), "delivered tokens not charged");
        } else if (command instanceof DispatchCommand.DeliverEnd end) {
            assertTrue(chargeRecorded, "end marker before the charge was committed or held");
            assertEquals(delivered.size(), end.usage().outputTokens());
            assertTrue(
                    usedUpstreams.stream().anyMatch(name -> answers.get(name).equals(delivered)),
                    "end marker after an incomplete answer");
        } else if (command instanceof DispatchCommand.FailCaller failure) {
            boolean allProven = provenNotRun.containsAll(streams.keySet());
            assertTrue(!failure.verdict().isNotRun() || allProven, "\"not run\" without proof");
            assertTrue(failure.broken() || delivered.isEmpty(), "incomplete answer not marked as broken");
        }
    }

    private boolean isPrefix(UpstreamName upstream) {
        List<String> answer = answers.get(upstream);
        return delivered.size() <= answer.size()
                && answer.subList(0, delivered.size()).equals(delivered);
    }
}
