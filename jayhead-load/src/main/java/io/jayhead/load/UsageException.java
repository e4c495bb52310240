package io.jayhead.load;

/** Reports a command line that the program does not accept. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public UsageException(String message) {
        super(message);
    }
}
