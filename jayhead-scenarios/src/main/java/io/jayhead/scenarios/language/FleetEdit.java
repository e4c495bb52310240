package io.jayhead.scenarios.language;

/** Represents a change to the fleet text. */
public sealed interface FleetEdit {

    /** Marks an upstream as leaving. */
    record Leaving(String upstream) implements FleetEdit {}

    /** Sets {@code max_output_tokens} of a generation service. */
    record OutputCap(String service, int maxOutputTokens) implements FleetEdit {}
}
