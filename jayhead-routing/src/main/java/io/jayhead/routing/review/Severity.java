package io.jayhead.routing.review;

/** Distinguishes findings by whether the configuration should be sent. */
public enum Severity {
    /** The configuration does not do what it says; it should not be sent. */
    ERROR,
    /** The configuration can be sent, but a part of it has no effect or contradicts another one. */
    WARNING
}
