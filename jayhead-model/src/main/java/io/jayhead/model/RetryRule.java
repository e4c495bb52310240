package io.jayhead.model;

/** Says what may be done after an attempt whose outcome is unknown. */
public enum RetryRule {
    /** The call must not be sent again. */
    NEVER {
        @Override
        public boolean allowsNewAttempt(Verdict verdict) {
            return verdict.isNotRun();
        }
    },
    /** The stream is resumed after the last token received. */
    RESUME {
        @Override
        public boolean allowsNewAttempt(Verdict verdict) {
            return !(verdict instanceof Verdict.Ran);
        }
    },
    /** The call may be sent again as it was. */
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
     * @return true if a further attempt may follow
     */
    public abstract boolean allowsNewAttempt(Verdict verdict);
}
