package io.jayhead.daemon.budget;

import io.jayhead.model.ErrorCode;

/** Receives the admission decision for a request, on the control thread. */
public interface AdmissionCallback {

    /** Called when the request may start; its tokens are reserved. */
    void admitted();

    /**
     * Called when the request is refused.
     *
     * @param code the error code for the answer
     * @param message a human-readable explanation
     */
    void refused(ErrorCode code, String message);
}
