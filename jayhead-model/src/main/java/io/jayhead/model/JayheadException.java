package io.jayhead.model;

/** Reports a failure with a code and the verdict for the request. */
public final class JayheadException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final transient Verdict verdict;

    /**
     * Creates an exception.
     *
     * @param code the error code
     * @param verdict whether the request may have run
     * @param message the message for people
     */
    public JayheadException(ErrorCode code, Verdict verdict, String message) {
        super(message);
        this.code = code;
        this.verdict = verdict;
    }

    /**
     * Returns an exception for a request that was refused before dispatch.
     *
     * @param code the error code
     * @param message the message for people
     * @return the exception
     */
    public static JayheadException refused(ErrorCode code, String message) {
        return new JayheadException(code, Verdict.notRun(NotRunProof.BEFORE_DISPATCH), message);
    }

    /**
     * Returns the error code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the verdict.
     *
     * @return whether the request may have run
     */
    public Verdict verdict() {
        return verdict == null ? Verdict.mayHaveRun() : verdict;
    }
}
