package io.jayhead.standins;

/** Reports a command line that cannot be followed. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong, in one line
     */
    public UsageException(String message) {
        super(message);
    }
}
