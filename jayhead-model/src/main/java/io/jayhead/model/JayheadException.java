package io.jayhead.model;

/** Reports that a request failed, with an error code and the verdict whether it may have run. */
public final class JayheadException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final transient Verdict verdict;

    /**
     * Creates an exception.
     *
     * @param code the error code
     * @param verdict the verdict whether the request may have run
     * @param message the message for callers and operators
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
     * @param message the message for callers and operators
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
     * Returns the verdict whether the request may have run.
     *
     * @return the verdict; {@link Verdict.MayHaveRun} if it is missing, for example after deserialization
     */
    public Verdict verdict() {
        return verdict == null ? Verdict.mayHaveRun() : verdict;
    }
}
