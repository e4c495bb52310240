package io.jayhead.ctl.command;

import io.jayhead.ctl.router.Reply;

/** Prints unsuccessful replies and maps them to exit codes. */
final class FailedReply {

    private static final int BAD_REQUEST = 400;
    private static final int UNPROCESSABLE = 422;

    private FailedReply() {}

    static ExitCode report(Console console, Reply reply) {
        console.problem(reply.describe());
        boolean invalid = reply instanceof Reply.Answer answer
                && (answer.status() == BAD_REQUEST || answer.status() == UNPROCESSABLE);
        return invalid ? ExitCode.INVALID : ExitCode.FAILED;
    }
}
