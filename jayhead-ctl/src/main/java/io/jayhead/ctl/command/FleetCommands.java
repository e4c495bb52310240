package io.jayhead.ctl.command;

import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.fleet.FleetChange;
import io.jayhead.config.fleet.FleetDiff;
import io.jayhead.config.fleet.FleetParser;
import io.jayhead.ctl.router.FleetState;
import io.jayhead.ctl.router.OperatorRequest;
import io.jayhead.ctl.router.Reply;
import io.jayhead.model.Either;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Validates fleet texts and compares them with the fleet text in force. */
final class FleetCommands {

    private FleetCommands() {}

    static ExitCode validate(Session session) {
        return withValidFile(session, file -> {
            session.console().print("valid");
            return ExitCode.DONE;
        });
    }

    static ExitCode diff(Session session) {
        return withValidFile(
                session,
                file -> withCurrentState(session, current -> {
                    printChanges(session.console(), current, file.spec());
                    return ExitCode.DONE;
                }));
    }

    /** Runs an action with the fleet file that the first operand names, or prints the problems of the file. */
    static ExitCode withValidFile(Session session, Function<FleetFile, ExitCode> action) {
        return FleetFile.read(session.arguments().operand(0))
                .fold(problems -> printProblems(session.console(), problems), action);
    }

    /** Runs an action with the fleet text in force, or prints why the text cannot be read. */
    static ExitCode withCurrentState(Session session, Function<FleetState, ExitCode> action) {
        Reply reply = session.routers().get().read(OperatorRequest.read("fleet"));
        Optional<FleetState> current = FleetState.of(reply);
        if (current.isEmpty()) {
            session.console().problem("cannot read the fleet: " + reply.describe());
            return ExitCode.FAILED;
        }
        return action.apply(current.get());
    }

    static void printChanges(Console console, FleetState current, FleetSpec next) {
        Either<List<ConfigProblem>, FleetSpec> before =
                current.text().isEmpty() ? Either.right(FleetSpec.empty()) : FleetParser.parse(current.text());
        if (!before.isRight()) {
            console.problem(
                    "version " + current.version() + " is not valid for this jayheadctl, so no changes are shown: "
                            + before.getLeft().get(0));
            return;
        }
        List<FleetChange> changes = FleetDiff.between(before.get(), next);
        changes.forEach(console::print);
        if (changes.isEmpty()) {
            console.print("no change to version " + current.version());
        }
    }

    private static ExitCode printProblems(Console console, List<ConfigProblem> problems) {
        problems.forEach(console::problem);
        return ExitCode.INVALID;
    }
}
