package io.jayhead.gateway.exchange;

/**
 * Gives one request its answer and remembers whether that has begun, so that no other answer can replace it; used by
 * the traffic thread.
 */
final class AnswerDelivery {

    private final AnswerWriter writer;
    private final ExchangeRecorder recorder;
    private boolean started;

    AnswerDelivery(AnswerWriter writer, ExchangeRecorder recorder) {
        this.writer = writer;
        this.recorder = recorder;
    }

    /** Tells whether the caller has received the head of a success, which another answer cannot replace. */
    boolean hasStarted() {
        return started;
    }

    /** Passes the head of a stream on, unless that of an earlier attempt has been. */
    void startStream(UpstreamAttempt attempt, AdmittedRequest request) {
        if (started) {
            return;
        }
        started = true;
        writer.startStream(attempt);
        recorder.firstByte(request.route().name());
    }

    /** Passes a complete answer on. */
    void passOn(UpstreamAttempt attempt, AnswerBody body, AdmittedRequest request) {
        started = attempt.isSuccess();
        writer.passOn(attempt, body.take());
        recorder.firstByte(request.route().name());
    }

    /** Answers in place of an upstream. */
    void refuse(Refusal refusal, long retryDelayMs) {
        writer.refuse(refusal, retryDelayMs);
    }
}
