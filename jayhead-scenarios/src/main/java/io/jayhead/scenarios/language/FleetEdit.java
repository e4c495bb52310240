package io.jayhead.scenarios.language;

/** Lists changes of the fleet text. */
public sealed interface FleetEdit {

    /** Marks an upstream as leaving. */
    record Leaving(String upstream) implements FleetEdit {}

    /** Sets the output cap of a generation service. */
    record OutputCap(String service, int maxOutputTokens) implements FleetEdit {}
}
