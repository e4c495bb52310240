package io.jayhead.dispatch;

import io.jayhead.model.NotRunProof;
import io.jayhead.model.Verdict;

/**
 * Records whether a request may have run in any of its attempts.
 *
 * @param earlierAttemptMayHaveRun whether an attempt before the last one may have run
 * @param lastAttemptMayHaveRun whether the last attempt was sent without proof that it did not run
 * @param proof the latest proof that an attempt did not run
 */
record RunEvidence(boolean earlierAttemptMayHaveRun, boolean lastAttemptMayHaveRun, NotRunProof proof) {

    static RunEvidence empty() {
        return new RunEvidence(false, false, NotRunProof.BEFORE_DISPATCH);
    }

    RunEvidence withSend() {
        return new RunEvidence(mayHaveRun(), true, proof);
    }

    RunEvidence withProof(NotRunProof newProof) {
        return new RunEvidence(earlierAttemptMayHaveRun, false, newProof);
    }

    boolean mayHaveRun() {
        return earlierAttemptMayHaveRun || lastAttemptMayHaveRun;
    }

    Verdict verdict() {
        return mayHaveRun() ? Verdict.mayHaveRun() : Verdict.notRun(proof);
    }
}
