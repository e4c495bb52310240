package io.jayhead.ctl.router;

import com.fasterxml.jackson.databind.JsonNode;

/** Holds the outcome of one request to a router, as far as it is known. */
public sealed interface Reply {

    /**
     * Tells whether the request provably had no effect and may succeed at another router.
     *
     * @return true if the same write may be sent to another router
     */
    boolean isNotRun();

    /**
     * Tells whether the outcome of a write is unknown.
     *
     * @return true if the write may have taken effect although no answer confirms it
     */
    boolean isOutcomeUnknown();

    /**
     * Describes the reply in human-readable form.
     *
     * @return one line
     */
    String describe();

    /**
     * Holds an answer with a JSON body.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answer(int status, JsonNode body) implements Reply {

        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVER_ERROR = 500;

        /**
         * Tells whether the router carried out the request.
         *
         * @return true for a status from 200 to 299
         */
        public boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /**
         * Tells whether the failure may be temporary or may concern only this router.
         *
         * @return true for status 429 and for 500 and above
         */
        public boolean isTransient() {
            return status == TOO_MANY_REQUESTS || status >= SERVER_ERROR;
        }

        /**
         * Returns the error code of a refusal.
         *
         * @return the code, or an empty string if there is none
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
     * Says why there is no usable answer.
     *
     * @param sent whether a byte of the request may have been written
     * @param reason the human-readable cause
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
