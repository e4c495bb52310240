package io.jayhead.model;

/** Defines whether and how a request is retried after a failed attempt. */
public enum RetryRule {
    /** The call must not be sent again, unless it certainly did not run. */
    NEVER {
        @Override
        public boolean allowsNewAttempt(Verdict verdict) {
            return verdict.isNotRun();
        }
    },
    /** A new attempt resumes the stream after the last token received. */
    RESUME {
        @Override
        public boolean allowsNewAttempt(Verdict verdict) {
            return !(verdict instanceof Verdict.Ran);
        }
    },
    /** The call may be sent again unchanged. */
    REPEAT {
        @Override
        public boolean allowsNewAttempt(Verdict verdict) {
            return !(verdict instanceof Verdict.Ran);
        }
    };

    /**
     * Tells whether a further attempt may follow.
     *
     * @param verdict the verdict on the attempts so far
     * @return true if the rule allows a further attempt
     */
    public abstract boolean allowsNewAttempt(Verdict verdict);
}
