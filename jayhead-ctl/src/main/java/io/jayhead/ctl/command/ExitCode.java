package io.jayhead.ctl.command;

/** Lists the exit codes of jayheadctl. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command was refused or failed. */
    FAILED(1),
    /** The usage is wrong or the input is invalid. */
    INVALID(2),
    /** Another change to the fleet text was accepted first. */
    CONFLICT(3);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /**
     * Returns the status that the process exits with.
     *
     * @return the status
     */
    public int status() {
        return status;
    }
}
