package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.AttemptOutcome;
import io.jayhead.gateway.upstream.AnswerHead;
import io.jayhead.gateway.upstream.AttemptListener;
import io.jayhead.gateway.upstream.UpstreamConnection;
import io.jayhead.gateway.upstream.UpstreamHandle;
import io.jayhead.gateway.wire.AnswerMetadata;
import io.jayhead.model.NotRunStatus;
import io.jayhead.routing.placement.ExpectedWork;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;

/** Sends the request of an exchange to one upstream and receives the answer; used by the traffic thread. */
final class UpstreamAttempt implements AttemptListener {

    /** An upstream that goes on after its first event did not end under the prompt. */
    private static final int ANSWERING_EVENTS = 2;

    private final Exchange exchange;
    private final String requestId;
    private final UpstreamHandle upstream;
    private final long tokensToRead;
    private final long memoryTokens;
    private final AnswerBody body;
    private UpstreamConnection connection;
    private HttpResponse head;
    private AnswerMetadata metadata;
    private boolean sent;
    private boolean promptPending;
    private boolean ended;
    private boolean streaming;
    private long placedAtNs;
    private long sentAtNs;
    private ExpectedWork expectedWork;
    private boolean firstEventSeen;
    private boolean promptAnswered;
    private boolean silenceReported;
    private int earlierRequests;

    UpstreamAttempt(Exchange exchange, String requestId, SelectedUpstream selected) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.upstream = selected.upstream();
        this.tokensToRead = selected.tokensToRead();
        this.memoryTokens = selected.memoryTokens();
        this.body = exchange.newBody();
    }

    UpstreamHandle upstream() {
        return upstream;
    }

    boolean isSent() {
        return sent;
    }

    boolean hasHead() {
        return head != null;
    }

    HttpResponse head() {
        return head;
    }

    /** Returns the milliseconds from choosing the upstream to sending the request; 0 if it was not sent. */
    long sentAfterMs() {
        return sent ? (sentAtNs - placedAtNs) / 1_000_000 : 0;
    }

    /** Returns the status that the upstream answered with; 0 if it did not answer. */
    int statusCode() {
        return head == null ? 0 : head.status().code();
    }

    /** Returns how many requests the connection had carried before this one. */
    int earlierRequests() {
        return earlierRequests;
    }

    void start(int maxConnections) {
        placedAtNs = System.nanoTime();
        upstream.started(tokensToRead, memoryTokens);
        promptPending = true;
        upstream.acquire(maxConnections, this);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    @Override
    public void connected(UpstreamConnection acquired) {
        if (ended || exchange.isEnded()) {
            acquired.abort();
            end();
            return;
        }
        if (!exchange.filter().maySend(upstream.upstream())) {
            acquired.abort();
            finish(AttemptOutcome.NOT_SENT, "the upstream takes no more requests");
            return;
        }
        connection = acquired;
        earlierRequests = acquired.requests();
        sent = true;
        sentAtNs = System.nanoTime();
        expectedWork = upstream.expectedWork();
        exchange.send(this, acquired);
    }

    @Override
    public void notConnected() {
        if (ended) {
            return;
        }
        upstream.unreachable();
        exchange.filter().unreachable(upstream.upstream());
        finish(AttemptOutcome.NOT_SENT, "not connected");
    }

    @Override
    public void allConnectionsInUse() {
        if (!ended) {
            finish(AttemptOutcome.NOT_SENT, "all connections in use");
        }
    }

    @Override
    public void head(HttpResponse answer, AnswerMetadata answerMetadata) {
        head = answer;
        metadata = answerMetadata;
        upstream.loadReported(metadata.load());
        exchange.filter().heard(upstream.upstream(), metadata.notice());
        if (isSuccess() && !isGenuine()) {
            giveUp("answer without a request id or a seal, or with an encoded body");
            return;
        }
        streaming = isSuccess() && exchange.isStreaming();
        if (streaming && exchange.hasAnswerStarted() && !mayBeEvents()) {
            giveUp(StreamRelay.FOREIGN);
        }
    }

    @Override
    public void content(ByteBuf bytes) {
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        if (ended) {
            return;
        }
        promptRead();
        if (streaming) {
            recordFirstEvent();
            exchange.streamBytes(this, copy);
            if (exchange.relay().eventsOfAttempt() >= ANSWERING_EVENTS) {
                promptAnswered();
            }
        } else if (!body.add(copy)) {
            giveUp("answer is too large");
        }
        exchange.shedIfExceeded();
    }

    @Override
    public void complete() {
        if (ended) {
            return;
        }
        if (metadata.provenNotRun()) {
            upstream.rejected();
            String unnamed = metadata.requestId().isPresent() ? "" : ", without a request id";
            finish(AttemptOutcome.REJECTED, "rejected with " + head.status().code() + unnamed);
            return;
        }
        if (isFailure(head.status().code())) {
            upstream.reportedFailure();
            finish(AttemptOutcome.FAILED, "failed with " + head.status().code());
            return;
        }
        if (!isSuccess() && exchange.hasAnswerStarted()) {
            upstream.reportedFailure();
            finish(AttemptOutcome.FAILED, "answered with " + head.status().code() + " to go on with a stream");
            return;
        }
        if (streaming && !endStream()) {
            broken("stream ended inside an event");
            return;
        }
        if (streaming) {
            upstream.streamEnded(msSinceSent());
        } else {
            upstream.answered(msSinceSent());
            exchange.recordAnswerTime(msSinceSent());
        }
        end();
        if (isSuccess()) {
            promptAnswered();
        }
        exchange.answered(this, body);
        body.release();
    }

    @Override
    public void broken(String reason) {
        if (ended) {
            return;
        }
        if (!exchange.mayHaveBeenCutOff()) {
            upstream.answerBroken();
        }
        if (!promptAnswered) {
            exchange.prompt().closedBeforeAnswer(upstream);
        }
        finish(AttemptOutcome.UNKNOWN, reason);
    }

    @Override
    public void writabilityChanged() {
        exchange.writabilityChanged();
    }

    AnswerBody body() {
        return body;
    }

    /** Cancels the attempt and closes its connection, so that the upstream can stop working on the request. */
    void abort() {
        if (ended) {
            return;
        }
        end();
        body.release();
        if (connection != null) {
            connection.abort();
        }
    }

    /** Ends the attempt as failed by the upstream, and lets the exchange decide how to continue. */
    void giveUp(String reason) {
        upstream.answerBroken();
        if (connection != null) {
            connection.abort();
        }
        finish(sent ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_SENT, reason);
    }

    /** Records once that the upstream is silent although it is read; the attempt goes on. */
    void reportSilence(boolean isRead) {
        if (isRead && !silenceReported) {
            silenceReported = true;
            upstream.answerBroken();
        }
    }

    void setReading(boolean reading) {
        if (connection != null && !ended) {
            connection.setReading(reading);
        }
    }

    boolean isSuccess() {
        int code = head.status().code();
        return code >= 200 && code < 300;
    }

    /** Tells whether a status is a failure of the upstream, as is one that says without proof that nothing has run. */
    private static boolean isFailure(int httpStatus) {
        return httpStatus >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() || NotRunStatus.matches(httpStatus);
    }

    /** A framed answer that names another type and has no event is no stream, so only its framing tells its end. */
    private boolean endStream() {
        boolean framed = AnswerHead.isFramed(head);
        boolean isOther = !mayBeEvents() && exchange.relay().eventsOfAttempt() == 0;
        return framed && isOther || exchange.relay().endAttempt(framed);
    }

    private boolean mayBeEvents() {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return type == null || AsciiString.of(type).toLowerCase().startsWith(HttpHeaderValues.TEXT_EVENT_STREAM);
    }

    private boolean isGenuine() {
        return metadata.requestId().isPresent() && metadata.sealed() && !metadata.encoded();
    }

    private void promptAnswered() {
        if (!promptAnswered) {
            promptAnswered = true;
            exchange.prompt().answered();
        }
    }

    private void recordFirstEvent() {
        if (!firstEventSeen) {
            firstEventSeen = true;
            upstream.firstEvent(msSinceSent(), expectedWork);
            exchange.recordAnswerTime(msSinceSent());
        }
    }

    private double msSinceSent() {
        return (System.nanoTime() - sentAtNs) / 1e6;
    }

    private void promptRead() {
        if (promptPending) {
            promptPending = false;
            upstream.promptRead(tokensToRead);
        }
    }

    private void finish(AttemptOutcome outcome, String reason) {
        end();
        exchange.attemptEnded(this, outcome, reason);
        body.release();
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        promptRead();
        upstream.ended(memoryTokens);
    }
}
