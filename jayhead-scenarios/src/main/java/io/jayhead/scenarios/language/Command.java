package io.jayhead.scenarios.language;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Lists the actions and expectations of scenarios. */
public sealed interface Command {

    /** Sends a generation. It goes on in the background. */
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

    /** Sends a booking. It goes on in the background. */
    record Book(String id, String router, String organisation, String order) implements Command {}

    /** Reads the status of a booking. It goes on in the background. */
    record ReadStatus(String id, String router, String organisation, String order) implements Command {}

    /** Adds tokens to a budget and waits for the answer. */
    record TopUp(String organisation, String budget, long tokens, Optional<String> router, String topUpId)
            implements Command {}

    /** Applies a changed fleet text. It goes on in the background. */
    record Apply(String id, String router, OptionalLong expectedVersion, List<FleetEdit> edits) implements Command {}

    /** Sends a signal to a process. */
    record Signal(ProcessSignal signal, String node) implements Command {}

    /** Starts a process. */
    record Start(Node node) implements Command {}

    /** Orders a fault from a stand-in. */
    record InjectFault(String node, String fault, long durationMs, long delayMs, int count, String path)
            implements Command {}

    /** Changes the state of the links between two processes. */
    record SetLink(LinkState state, String first, String second) implements Command {}

    /** Changes an entry of the VM list. */
    record SetVm(String node, String state) implements Command {}

    /** Waits for a time. */
    record Sleep(long durationMs) implements Command {}

    /** Waits for the end of a background action. */
    record WaitFor(String id, long limitMs) implements Command {}

    /** Remembers the number of runs at an engine. */
    record NoteRuns(String engine) implements Command {}

    /** Checks that an engine has no runs beyond those remembered. */
    record ExpectNoNewRuns(String engine) implements Command {}

    /** Checks how an action ended. */
    record ExpectOutcome(String id, Outcome outcome) implements Command {}

    /** Checks that exactly one of several configuration changes was accepted and the others conflict. */
    record ExpectOneAccepted(List<String> ids) implements Command {}

    /** Checks a count until a limit. */
    record ExpectCount(Counted counted, String subject, Comparison comparison, long number, long withinMs)
            implements Command {}

    /** Checks that no budget is overspent. */
    record ExpectOverspend(long tokens) implements Command {}

    /** Checks that spent tokens in the ledgers equal the charges, until a limit. */
    record ExpectSettled(long withinMs) implements Command {}

    /** Checks that each router uses the version or refuses new work, until a limit. */
    record ExpectVersion(long version, long withinMs) implements Command {}

    /** Checks that a router uses the version, until a limit. */
    record ExpectVersionAt(String router, long version, long withinMs) implements Command {}

    /** Checks that a router refuses new work with a code, until a limit. */
    record ExpectRefusing(String router, String code, long withinMs) implements Command {}

    /** Checks that a router takes new work, until a limit. */
    record ExpectServing(String router, long withinMs) implements Command {}

    /** Checks that a router reports ready, until a limit. */
    record ExpectReady(String router, long withinMs) implements Command {}

    /** Checks that a process ended with a status, until a limit. */
    record ExpectExit(String node, int status, long withinMs) implements Command {}
}
