package io.jayhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Writes the answer of one exchange to its caller; used by the traffic thread. */
public final class AnswerWriter {

    private final GatewayContext context;
    private final CallerChannel caller;

    /**
     * Creates a writer.
     *
     * @param context the objects that all exchanges of the router share
     * @param caller writes the answer
     */
    public AnswerWriter(GatewayContext context, CallerChannel caller) {
        this.context = context;
        this.caller = caller;
    }

    /**
     * Refuses the request.
     *
     * @param refusal the refusal
     * @param retryDelayMs the mean delay after which the caller should retry; 0 if it is not asked to
     */
    public void refuse(Refusal refusal, long retryDelayMs) {
        HttpHeaders headers = new DefaultHttpHeaders();
        RetryAfter.of(retryDelayMs).ifPresent(value -> headers.set(HttpHeaderNames.RETRY_AFTER, value));
        caller.answer(refusal.status(), headers, List.of());
    }

    /** Passes the head of a stream on. */
    void startStream(UpstreamAttempt attempt) {
        caller.startStream(attempt.head().status(), headersOf(attempt));
    }

    /** Passes a complete answer on. */
    void passOn(UpstreamAttempt attempt, List<ByteBuf> body) {
        caller.answer(attempt.head().status(), headersOf(attempt), body);
    }

    private HttpHeaders headersOf(UpstreamAttempt attempt) {
        HttpHeaders headers = new DefaultHttpHeaders();
        context.dialect().copyAnswer(attempt.head().headers(), headers);
        return headers;
    }
}
