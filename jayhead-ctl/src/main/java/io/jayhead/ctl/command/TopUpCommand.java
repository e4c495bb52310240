package io.jayhead.ctl.command;

import io.jayhead.ctl.router.OperatorRequest;
import io.jayhead.ctl.router.Reply;
import java.util.UUID;

/** Adds paid tokens to a budget. Attempts with the same id count once. */
final class TopUpCommand {

    private TopUpCommand() {}

    static ExitCode run(Session session) {
        Arguments arguments = session.arguments();
        Console console = session.console();
        String id = arguments.id().orElseGet(() -> UUID.randomUUID().toString());
        OperatorRequest request = OperatorRequest.topUp(arguments.name(0), arguments.name(1), id, arguments.tokens(2));
        // Printed before the request is sent, so that the operator knows the id even if this process is killed.
        console.print("top-up " + id);
        Reply reply = session.routers().get().writeIdempotent(request);
        if (reply instanceof Reply.Answer answer && answer.isSuccess()) {
            JsonLines.print(console, answer.body(), false);
            return ExitCode.DONE;
        }
        if (reply.isNotRun() || reply.isOutcomeUnknown()) {
            console.problem("the top-up may have been counted; repeat it with --id " + id + ", which counts once");
        }
        return FailedReply.report(console, reply);
    }
}
