package io.jayhead.standins;

/** Signals invalid command-line arguments. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the error in one line, which is printed to the user
     */
    public UsageException(String message) {
        super(message);
    }
}
