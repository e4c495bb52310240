package io.jayhead.daemon.budget;

import io.jayhead.model.ErrorCode;

/** Is told on the control thread whether a request may start. */
public interface AdmissionCallback {

    /** The request may start; its tokens are reserved. */
    void started();

    /**
     * The request is refused.
     *
     * @param code the error code
     * @param message the message for people
     */
    void refused(ErrorCode code, String message);
}
