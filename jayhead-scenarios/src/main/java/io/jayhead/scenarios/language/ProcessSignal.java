package io.jayhead.scenarios.language;

/** Lists the signals that can be sent to a process. */
public enum ProcessSignal {
    /** Kills the process at once, with SIGKILL. */
    KILL,
    /** Requests a graceful shutdown, with SIGTERM. */
    STOP,
    /** Suspends the process, with SIGSTOP. */
    PAUSE,
    /** Resumes a suspended process, with SIGCONT. */
    RESUME,
    /** Requests a reload of the settings, with SIGHUP. */
    RELOAD
}
