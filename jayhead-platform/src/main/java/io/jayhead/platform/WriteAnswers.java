package io.jayhead.platform;

/** Maps HTTP answers to write results. */
final class WriteAnswers {

    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_CONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private WriteAnswers() {}

    /** Maps the answer of a create or update; a missing object is a conflict, as it has no version to match. */
    static WriteResult ofPut(HttpAnswer answer) {
        if (answer.successful() && answer.version() < 0) {
            return new WriteResult.Unknown("status " + answer.status() + " without a version");
        }
        return of(answer, answer.version());
    }

    static WriteResult ofDelete(HttpAnswer answer) {
        return of(answer, 0);
    }

    private static WriteResult of(HttpAnswer answer, long version) {
        if (answer.status() == 0) {
            return answer.sent()
                    ? new WriteResult.Unknown(answer.describe())
                    : new WriteResult.NotWritten(answer.describe(), true, 0);
        }
        if (answer.successful()) {
            return new WriteResult.Written(version);
        }
        return refused(answer);
    }

    private static WriteResult refused(HttpAnswer answer) {
        String reason = "status " + answer.status();
        return switch (answer.status()) {
            case STATUS_CONDITION_FAILED, STATUS_NOT_FOUND -> new WriteResult.Conflict();
            case STATUS_TOO_MANY, STATUS_UNAVAILABLE -> new WriteResult.NotWritten(reason, true, answer.retryAfterMs());
            case STATUS_REQUEST_TIMEOUT -> new WriteResult.Unknown(reason);
            default ->
                // A 500, 502 or 504 of an intermediary does not say whether the write reached the platform.
                answer.status() >= STATUS_SERVER_ERROR
                        ? new WriteResult.Unknown(reason)
                        : new WriteResult.NotWritten(reason, false, 0);
        };
    }
}
