package io.jayhead.ctl.command;

import io.jayhead.ctl.router.Reply;

/** Prints replies that are no success and chooses their exit code. */
final class Refusal {

    private static final int BAD_REQUEST = 400;
    private static final int UNPROCESSABLE = 422;

    private Refusal() {}

    static ExitCode report(Console console, Reply reply) {
        console.problem(reply.describe());
        boolean invalid = reply instanceof Reply.Answer answer
                && (answer.status() == BAD_REQUEST || answer.status() == UNPROCESSABLE);
        return invalid ? ExitCode.INVALID : ExitCode.FAILED;
    }
}
