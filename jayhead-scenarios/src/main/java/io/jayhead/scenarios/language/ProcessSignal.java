package io.jayhead.scenarios.language;

/** Lists what can be sent to a process. */
public enum ProcessSignal {
    /** Ends it without notice. */
    KILL,
    /** Asks for a graceful stop. */
    STOP,
    /** Freezes it. */
    PAUSE,
    /** Wakes it. */
    RESUME,
    /** Asks it to read its settings again. */
    RELOAD
}
