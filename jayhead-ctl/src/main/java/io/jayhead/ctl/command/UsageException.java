package io.jayhead.ctl.command;

/** Thrown to report wrong usage or input that cannot be read. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the message for the operator
     */
    public UsageException(String message) {
        super(message);
    }
}
