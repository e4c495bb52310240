package io.jayhead.config.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;
import java.util.stream.Stream;

/** Names the log levels of a daemon. */
public enum LogLevel {
    /** Failures only. */
    ERROR(Level.SEVERE),
    /** Failures and conditions that need attention. */
    WARNING(Level.WARNING),
    /** Decisions and state changes as well. */
    INFO(Level.INFO),
    /** Details for the search of a fault. */
    DEBUG(Level.FINE);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /**
     * Finds the level with the given name in the settings.
     *
     * @param name the name in lower case
     * @return the level, or empty if there is none
     */
    public static Optional<LogLevel> parse(String name) {
        return Stream.of(values())
                .filter(level -> level.configName().equals(name))
                .findFirst();
    }

    /**
     * Returns the name used in the settings.
     *
     * @return the name in lower case
     */
    public String configName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the level of the log backend.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }
}
