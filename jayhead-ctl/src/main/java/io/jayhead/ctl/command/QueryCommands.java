package io.jayhead.ctl.command;

import io.jayhead.ctl.router.OperatorRequest;
import io.jayhead.ctl.router.Reply;

/** Prints what a router reports about itself, a budget or a request. */
final class QueryCommands {

    private QueryCommands() {}

    static ExitCode status(Session session) {
        return show(session, OperatorRequest.read("status"));
    }

    static ExitCode budget(Session session) {
        Arguments arguments = session.arguments();
        return show(session, OperatorRequest.read("budgets", arguments.name(0), arguments.name(1)));
    }

    static ExitCode explain(Session session) {
        return show(
                session, OperatorRequest.read("requests", session.arguments().requestId(0)));
    }

    private static ExitCode show(Session session, OperatorRequest request) {
        Reply reply = session.routers().get().read(request);
        if (!(reply instanceof Reply.Answer answer) || !answer.isSuccess()) {
            return FailedReply.report(session.console(), reply);
        }
        JsonLines.print(session.console(), answer.body(), session.arguments().json());
        return ExitCode.DONE;
    }
}
