package io.jayhead.gateway.control;

import java.util.Optional;

/**
 * A change of the record of one part of prompts.
 *
 * @param part the part
 * @param stored the new record; empty if it was removed or cannot be read
 */
public record CrashChange(String part, Optional<StoredCrashes> stored) {}
