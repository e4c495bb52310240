package io.jayhead.load;

/** Reports an invalid command line or an invalid file named on it. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the fault, as shown to the user
     */
    public UsageException(String message) {
        super(message);
    }
}
