package io.jayhead.daemon.request;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.Verdict;

/** Receives the outcome of a call to a plain service. */
interface CallOutcomeListener {

    void answered(int status, String body);

    void failed(ErrorCode code, Verdict verdict);
}
