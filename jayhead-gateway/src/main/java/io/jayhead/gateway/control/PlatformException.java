package io.jayhead.gateway.control;

/** Reports a failed call to the platform. */
public final class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final PlatformFault fault;

    /**
     * Creates an exception without a stack trace.
     *
     * @param fault why the call failed
     * @param message details for the log
     */
    public PlatformException(PlatformFault fault, String message) {
        super(message, null, false, false);
        this.fault = fault;
    }

    /**
     * Returns why the call failed.
     *
     * @return the fault
     */
    public PlatformFault fault() {
        return fault;
    }

    /**
     * Finds the fault of a failed stage.
     *
     * @param failure the failure, possibly with a {@link PlatformException} among its causes
     * @return the fault; {@link PlatformFault#MALFORMED} for failures of other types
     */
    public static PlatformFault faultOf(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof PlatformException exception) {
                return exception.fault();
            }
        }
        return PlatformFault.MALFORMED;
    }
}
