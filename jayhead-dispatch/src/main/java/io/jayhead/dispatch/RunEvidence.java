package io.jayhead.dispatch;

import io.jayhead.model.NotRunProof;
import io.jayhead.model.Verdict;

/**
 * Collects what is known about whether a request ran, over all its attempts.
 *
 * @param mayHaveRunBefore whether an attempt before the pending one may have run
 * @param pending whether an attempt was sent and nothing proves that it did not run
 * @param proof the last proof that an attempt did not run
 */
record RunEvidence(boolean mayHaveRunBefore, boolean pending, NotRunProof proof) {

    static RunEvidence empty() {
        return new RunEvidence(false, false, NotRunProof.BEFORE_DISPATCH);
    }

    RunEvidence withSend() {
        return new RunEvidence(mayHaveRun(), true, proof);
    }

    RunEvidence withProof(NotRunProof newProof) {
        return new RunEvidence(mayHaveRunBefore, false, newProof);
    }

    boolean mayHaveRun() {
        return mayHaveRunBefore || pending;
    }

    Verdict verdict() {
        return mayHaveRun() ? Verdict.mayHaveRun() : Verdict.notRun(proof);
    }
}
