package io.jayhead.scenarios.language;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Represents an action or an expectation of a scenario. Except for {@link ExpectExit}, an expectation with a time limit
 * is checked repeatedly until it holds or the limit passes; with limit 0, it is checked once.
 */
public sealed interface Command {

    /** Sends a generation request and does not wait for the answer. */
    record Generate(
            String id,
            String router,
            String service,
            String organisation,
            String key,
            String prompt,
            int maxTokens,
            boolean stream)
            implements Command {}

    /** Sends a booking request and does not wait for the answer. */
    record Book(String id, String router, String organisation, String order) implements Command {}

    /** Sends a status read for an order and does not wait for the answer. */
    record ReadStatus(String id, String router, String organisation, String order) implements Command {}

    /** Adds tokens to a budget and waits until a router accepts the top-up. */
    record TopUp(String organisation, String budget, long tokens, Optional<String> router, String topUpId)
            implements Command {}

    /** Applies an edited fleet text and does not wait for the answer. */
    record Apply(String id, String router, OptionalLong expectedVersion, List<FleetEdit> edits) implements Command {}

    /** Sends a signal to a process. */
    record Signal(ProcessSignal signal, String node) implements Command {}

    /** Starts a process and waits until it is ready. */
    record Start(Node node) implements Command {}

    /** Injects a fault into a stand-in. */
    record InjectFault(String node, String fault, long durationMs, long delayMs, int count, String path)
            implements Command {}

    /** Changes the state of the links between two processes; {@code peers} as the second means all other routers. */
    record SetLink(LinkState state, String first, String second) implements Command {}

    /** Changes or removes the entry of a VM in the VM list. */
    record SetVm(String node, String state) implements Command {}

    /** Waits for a duration. */
    record Sleep(long durationMs) implements Command {}

    /** Waits until a background action has its answer or a process has ended. */
    record WaitFor(String id, long limitMs) implements Command {}

    /** Notes the number of runs at an engine for a later {@link ExpectNoNewRuns}. */
    record NoteRuns(String engine) implements Command {}

    /** Checks that an engine started no runs since the last {@link NoteRuns}. */
    record ExpectNoNewRuns(String engine) implements Command {}

    /** Checks the outcome of a background action. */
    record ExpectOutcome(String id, Outcome outcome) implements Command {}

    /** Checks that exactly one of several configuration changes was accepted and all others had a conflict. */
    record ExpectOneAccepted(List<String> ids) implements Command {}

    /** Checks a count, repeatedly until it holds or the time limit passes. */
    record ExpectCount(Counted counted, String subject, Comparison comparison, long number, long withinMs)
            implements Command {}

    /** Checks the number of tokens spent beyond the paid ones, over all budgets. */
    record ExpectOverspend(long tokens) implements Command {}

    /** Checks that the ledgers hold no grants and their spent tokens equal the charges, until the time limit passes. */
    record ExpectSettled(long withinMs) implements Command {}

    /**
     * Checks that each router that runs and is not paused uses a fleet version or refuses new work, until the time
     * limit passes.
     */
    record ExpectVersion(long version, long withinMs) implements Command {}

    /** Checks that a router reports a fleet version, until the time limit passes. */
    record ExpectVersionAt(String router, long version, long withinMs) implements Command {}

    /** Checks that a router refuses new work with an error code, until the time limit passes. */
    record ExpectRefusing(String router, String code, long withinMs) implements Command {}

    /** Checks that a router completes a new request, until the time limit passes. */
    record ExpectServing(String router, long withinMs) implements Command {}

    /** Checks that a router reports ready, until the time limit passes. */
    record ExpectReady(String router, long withinMs) implements Command {}

    /** Checks that a process ends with an exit status before the time limit passes. */
    record ExpectExit(String node, int status, long withinMs) implements Command {}
}
