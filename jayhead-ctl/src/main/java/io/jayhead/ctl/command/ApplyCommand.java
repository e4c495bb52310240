package io.jayhead.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.ctl.router.FleetState;
import io.jayhead.ctl.router.OperatorRequest;
import io.jayhead.ctl.router.Pause;
import io.jayhead.ctl.router.Reply;
import io.jayhead.ctl.router.RouterGroup;
import java.util.Optional;
import java.util.UUID;

/** Applies a fleet text, and reads the fleet back to find out the outcome if the reply is lost. */
final class ApplyCommand {

    private static final int CONFLICT = 409;

    /** With the pauses, covers the 3 s in which accepted versions reach the routers, so that a delayed write shows. */
    private static final int READ_BACK_ATTEMPTS = 10;

    private static final long READ_BACK_PAUSE_MS = 500;

    private final Console console;
    private final RouterGroup routers;
    private final String changeId = UUID.randomUUID().toString();

    private ApplyCommand(Console console, RouterGroup routers) {
        this.console = console;
        this.routers = routers;
    }

    static ExitCode run(Session session) {
        return FleetCommands.withValidFile(
                session,
                file -> FleetCommands.withCurrentState(session, current -> {
                    ApplyCommand command = new ApplyCommand(
                            session.console(), session.routers().get());
                    long expected = session.arguments().expectedVersion().orElse(current.version());
                    return command.apply(file, current, expected);
                }));
    }

    private ExitCode apply(FleetFile file, FleetState current, long expectedVersion) {
        if (current.version() > expectedVersion) {
            return conflict("version " + current.version() + " of change " + current.changeId());
        }
        if (current.version() == expectedVersion && current.text().equals(file.text())) {
            console.print("version " + current.version() + " already has this text");
            return ExitCode.DONE;
        }
        FleetCommands.printChanges(console, current, file.spec());
        console.print("change " + changeId + " replaces version " + expectedVersion);
        Reply reply = routers.writeOnce(OperatorRequest.writeFleet(expectedVersion, changeId, file.text()));
        if (reply.isOutcomeUnknown()) {
            console.problem(reply.describe() + "; reading the fleet back");
            return readBack(expectedVersion);
        }
        return reply instanceof Reply.Answer answer ? finish(answer) : FailedReply.report(console, reply);
    }

    private ExitCode finish(Reply.Answer answer) {
        if (isConflict(answer)) {
            return conflict(acceptedVersion(answer.body()));
        }
        if (!answer.isSuccess()) {
            return FailedReply.report(console, answer);
        }
        String state = answer.body().path("state").asText("of unknown state");
        console.print("version " + answer.body().path("version").asText("?") + " " + state);
        return state.equals("accepted") ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static boolean isConflict(Reply.Answer answer) {
        return answer.status() == CONFLICT
                && (answer.errorCode().isEmpty() || answer.errorCode().equals("conflict"));
    }

    private static String acceptedVersion(JsonNode body) {
        JsonNode version =
                body.path("version").isMissingNode() ? body.path("error").path("version") : body.path("version");
        return "version " + version.asText("unknown");
    }

    /** Reads the fleet until it shows this change or a later version, as routers may lag behind for a while. */
    private ExitCode readBack(long expectedVersion) {
        for (int attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
            Optional<FleetState> state = FleetState.of(routers.read(OperatorRequest.read("fleet")));
            if (state.isPresent() && state.get().changeId().equals(changeId)) {
                console.print("version " + state.get().version() + " written; its acceptance was not confirmed");
                return ExitCode.DONE;
            }
            if (state.isPresent() && state.get().version() > expectedVersion) {
                return reportOtherVersion(state.get(), expectedVersion);
            }
            Pause.ofMs(READ_BACK_PAUSE_MS);
        }
        console.problem("outcome unknown: change " + changeId + " does not show and may still be written; "
                + "see the change id of the fleet before another apply");
        return ExitCode.FAILED;
    }

    private ExitCode reportOtherVersion(FleetState state, long expectedVersion) {
        if (state.version() > expectedVersion + 1) {
            console.problem("outcome unknown: version " + state.version() + " of change " + state.changeId()
                    + " is in force; change " + changeId + " may have been in force before it");
            return ExitCode.CONFLICT;
        }
        return conflict("version " + state.version() + " of change " + state.changeId());
    }

    private ExitCode conflict(String acceptedVersion) {
        console.problem("conflict: " + acceptedVersion + " was accepted first");
        return ExitCode.CONFLICT;
    }
}
