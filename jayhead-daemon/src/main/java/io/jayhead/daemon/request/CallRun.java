package io.jayhead.daemon.request;

import io.jayhead.daemon.upstream.AttemptOrder;
import io.jayhead.dispatch.CallAttempts;
import io.jayhead.dispatch.CallState;
import io.jayhead.dispatch.DispatchCommand;
import io.jayhead.dispatch.DispatchLimits;
import okhttp3.Call;

/** Runs one call of a plain service. */
final class CallRun extends Run<CallState> {

    private final String method;
    private final String path;
    private final byte[] body;
    private final CallOutcome outcome;

    CallRun(
            AdmittedRequest request,
            Services services,
            DispatchLimits limits,
            String method,
            String path,
            byte[] body,
            CallOutcome outcome) {
        super(
                request,
                services,
                CallState.of(
                        request.key(),
                        limits,
                        request.service().kind().retryRule(),
                        request.service().priceTokens()),
                CallAttempts::handle);
        this.method = method;
        this.path = path;
        this.body = body.clone();
        this.outcome = outcome;
    }

    @Override
    Call send(AttemptOrder order) {
        return services.plainServices().call(order, method, path, body, this::post);
    }

    @Override
    void answer(DispatchCommand command) {
        if (command instanceof DispatchCommand.DeliverAnswer answer) {
            outcome.answered(answer.httpStatus(), answer.body());
        } else if (command instanceof DispatchCommand.FailCaller fail) {
            outcome.failed(fail.code(), fail.verdict());
        }
    }

    @Override
    void finished() {
        // The outcome was reported by its own command.
    }
}
