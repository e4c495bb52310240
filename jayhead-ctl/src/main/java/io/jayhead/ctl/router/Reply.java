package io.jayhead.ctl.router;

import com.fasterxml.jackson.databind.JsonNode;

/** Holds what is known after one request to a router. */
public sealed interface Reply {

    /**
     * Tells whether the request provably took no effect and another router may do better.
     *
     * @return true if the same write may be sent to another router
     */
    boolean isNotRun();

    /**
     * Tells whether the outcome of a write is unknown.
     *
     * @return true if the write may have taken effect without an answer that says so
     */
    boolean isOutcomeUnknown();

    /**
     * Describes the reply for people.
     *
     * @return one line
     */
    String describe();

    /**
     * An answer with a JSON body.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answer(int status, JsonNode body) implements Reply {

        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVER_ERROR = 500;

        /**
         * Tells whether the router did what was asked.
         *
         * @return true for a status from 200 to 299
         */
        public boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /**
         * Tells whether the cause may pass or may be that router's own.
         *
         * @return true for 429 and from 500
         */
        public boolean isTransient() {
            return status == TOO_MANY_REQUESTS || status >= SERVER_ERROR;
        }

        /**
         * Returns the error code of a refusal.
         *
         * @return the code, or an empty text if there is none
         */
        public String errorCode() {
            return body.path("error").path("code").asText("");
        }

        @Override
        public boolean isNotRun() {
            return isTransient()
                    && body.path("error").path("verdict").asText("").equals("not_run");
        }

        @Override
        public boolean isOutcomeUnknown() {
            return isTransient() && !isNotRun();
        }

        @Override
        public String describe() {
            String message = body.path("error").path("message").asText("");
            return "HTTP " + status + " " + errorCode() + (message.isEmpty() ? "" : ": " + message);
        }
    }

    /**
     * No usable answer.
     *
     * @param sent whether a byte of the request may have been written
     * @param reason the failure
     */
    record NoAnswer(boolean sent, String reason) implements Reply {

        @Override
        public boolean isNotRun() {
            return !sent;
        }

        @Override
        public boolean isOutcomeUnknown() {
            return sent;
        }

        @Override
        public String describe() {
            return (sent ? "no answer: " : "not sent: ") + reason;
        }
    }
}
