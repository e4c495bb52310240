package io.jayhead.daemon.request;

import io.jayhead.daemon.upstream.AttemptRequest;
import io.jayhead.dispatch.CallAttempts;
import io.jayhead.dispatch.CallState;
import io.jayhead.dispatch.DispatchCommand;
import io.jayhead.dispatch.DispatchLimits;
import okhttp3.Call;

/** Runs one call to a plain service. */
final class CallRun extends DispatchRun<CallState> {

    private final String method;
    private final String path;
    private final byte[] body;
    private final CallOutcomeListener outcomeListener;

    CallRun(
            ValidatedRequest request,
            RequestComponents components,
            DispatchLimits limits,
            String method,
            String path,
            byte[] body,
            CallOutcomeListener outcomeListener) {
        super(
                request,
                components,
                CallState.of(
                        request.key(),
                        limits,
                        request.service().kind().retryRule(),
                        request.service().priceTokens()),
                CallAttempts::handle);
        this.method = method;
        this.path = path;
        this.body = body.clone();
        this.outcomeListener = outcomeListener;
    }

    @Override
    Call send(AttemptRequest attempt) {
        return components.plainServices().call(attempt, method, path, body, this::post);
    }

    @Override
    void answer(DispatchCommand command) {
        if (command instanceof DispatchCommand.DeliverAnswer answer) {
            outcomeListener.answered(answer.httpStatus(), answer.body());
        } else if (command instanceof DispatchCommand.FailCaller fail) {
            outcomeListener.failed(fail.code(), fail.verdict());
        }
    }

    @Override
    void finished() {
        // A previous command has reported the outcome already.
    }
}
