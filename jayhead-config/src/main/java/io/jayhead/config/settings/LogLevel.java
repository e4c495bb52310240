package io.jayhead.config.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;
import java.util.stream.Stream;

/** Lists the log levels of a router daemon, from the least to the most verbose. */
public enum LogLevel {
    /** Failures only. */
    ERROR(Level.SEVERE),
    /** Also conditions that need attention. */
    WARNING(Level.WARNING),
    /** Also decisions and state changes. */
    INFO(Level.INFO),
    /** Also details for troubleshooting. */
    DEBUG(Level.FINE);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /**
     * Finds a level by the name that the settings use.
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
     * Returns the corresponding level of {@code java.util.logging}.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }
}
