package io.jayhead.model;

/**
 * Tells whether a request ran, may have run or did not run at an upstream.
 *
 * <p>A {@link NotRun} verdict requires a proof. Without a proof, the verdict after a failure is {@link MayHaveRun}.
 */
public sealed interface Verdict permits Verdict.NotRun, Verdict.Ran, Verdict.MayHaveRun {

    /**
     * Returns the verdict of a request that did not run.
     *
     * @param proof the reason why the request certainly did not run
     * @return the verdict
     */
    static Verdict notRun(NotRunProof proof) {
        return new NotRun(proof);
    }

    /**
     * Returns the verdict of a request that ran to its end.
     *
     * @return the verdict
     */
    static Verdict ran() {
        return Ran.INSTANCE;
    }

    /**
     * Returns the verdict of a request whose outcome is unknown.
     *
     * @return the verdict
     */
    static Verdict mayHaveRun() {
        return MayHaveRun.INSTANCE;
    }

    /**
     * Returns the name that callers receive.
     *
     * @return {@code not_run}, {@code ran} or {@code may_have_run}
     */
    String code();

    /**
     * Tells whether the request certainly did not run.
     *
     * @return true for {@link NotRun}
     */
    default boolean isNotRun() {
        return this instanceof NotRun;
    }

    /**
     * The request did not run.
     *
     * @param proof the reason why this is certain
     */
    record NotRun(NotRunProof proof) implements Verdict {

        /** Checks that there is a proof. */
        public NotRun {
            if (proof == null) {
                throw new IllegalArgumentException("a not-run verdict requires a proof");
            }
        }

        @Override
        public String code() {
            return "not_run";
        }
    }

    /** The request ran to its end. */
    enum Ran implements Verdict {
        /** The only instance; the verdict has no further data. */
        INSTANCE;

        @Override
        public String code() {
            return "ran";
        }
    }

    /** The request was sent and its outcome is unknown. */
    enum MayHaveRun implements Verdict {
        /** The only instance; the verdict has no further data. */
        INSTANCE;

        @Override
        public String code() {
            return "may_have_run";
        }
    }
}
