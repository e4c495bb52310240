package io.jayhead.daemon.request;

import io.jayhead.edge.CallerResponse;
import io.jayhead.edge.ErrorBody;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Verdict;
import io.jayhead.settlement.claim.ClaimCommand;
import java.nio.charset.StandardCharsets;

/** Writes the answer of a booking to its caller; only the first answer is sent. */
final class BookingAnswerWriter {

    private final ValidatedRequest request;
    private final RequestComponents components;
    private final CallerResponse response;
    private final String statusPath;
    private boolean sent;

    BookingAnswerWriter(ValidatedRequest request, RequestComponents components, CallerResponse response) {
        this.request = request;
        this.components = components;
        this.response = response;
        this.statusPath = request.service()
                .statusService()
                .map(service -> "/v1/services/" + service)
                .orElse("");
    }

    void send(ClaimCommand command) {
        if (command instanceof ClaimCommand.AnswerFresh fresh) {
            send(fresh.status(), fresh.body(), "fresh", Verdict.ran());
        } else if (command instanceof ClaimCommand.AnswerStored stored) {
            send(stored.status(), stored.body(), "stored", Verdict.ran());
        } else if (command instanceof ClaimCommand.AnswerInProgress) {
            refuse(
                    ErrorCode.IN_PROGRESS,
                    Verdict.mayHaveRun(),
                    "an earlier request with the same idempotency key is still running");
        } else if (command instanceof ClaimCommand.AnswerMayHaveRun) {
            refuse(
                    ErrorCode.OUTCOME_UNKNOWN,
                    Verdict.mayHaveRun(),
                    "an earlier request with the same idempotency key may have run; read its status");
        } else if (command instanceof ClaimCommand.Refuse refuse && isOutage(refuse)) {
            refuseInOutage(refuse.message());
        } else if (command instanceof ClaimCommand.Refuse refuse) {
            refuse(refuse.code(), refuse.verdict(), refuse.message());
        }
    }

    /**
     * Refuses a booking whose claim cannot be read because the platform is down. An earlier call with the same key may
     * have run, so the verdict depends on whether the owner of the key's partition knows an earlier call.
     */
    void refuseInOutage(String message) {
        components
                .control()
                .execute(() -> components
                        .registry()
                        .lookUp(
                                request.key(),
                                request.bodyDigest(),
                                lookup -> components.traffic().execute(() -> refuseInOutage(message, lookup.found()))));
    }

    private void refuseInOutage(String message, boolean earlierRequestFound) {
        if (earlierRequestFound) {
            refuse(
                    ErrorCode.OUTCOME_UNKNOWN,
                    Verdict.mayHaveRun(),
                    "an earlier request with the same idempotency key may have run; read its status");
            return;
        }
        refuse(ErrorCode.PLATFORM_UNAVAILABLE, Verdict.notRun(NotRunProof.BEFORE_DISPATCH), message);
    }

    private static boolean isOutage(ClaimCommand.Refuse refuse) {
        return refuse.code() == ErrorCode.PLATFORM_UNAVAILABLE
                && refuse.verdict().isNotRun();
    }

    private void refuse(ErrorCode code, Verdict verdict, String message) {
        String path = verdict.isNotRun() ? "" : statusPath;
        String body = ErrorBody.of(code, verdict, message, request.key().value(), path);
        send(code.httpStatus(verdict), body, code.code(), verdict);
    }

    private synchronized void send(int status, String body, String code, Verdict verdict) {
        if (sent) {
            return;
        }
        sent = true;
        components.metrics().countRequest(request.service().kind(), code, verdict);
        components
                .decisions()
                .record(
                        "answer",
                        request.key().value(),
                        "code=%s verdict=%s status=%d duration_ms=%d",
                        code,
                        verdict.code(),
                        status,
                        components.clock().nowMs() - request.arrivedAtMs());
        response.setHeader(GenerationAnswerWriter.VERDICT_HEADER, verdict.code());
        response.send(status, GenerationAnswerWriter.JSON, body.getBytes(StandardCharsets.UTF_8));
    }
}
