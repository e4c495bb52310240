package io.jayhead.peer;

/** Reports that another router gave no usable reply. */
public final class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the cause, for logs
     */
    public PeerException(String message) {
        super(message);
    }
}
