package io.jayhead.routing.review;

/**
 * Something in a configuration that its operator should look at.
 *
 * @param kind the kind of the finding
 * @param entry the entry or field, such as {@code Routes/chat}
 * @param message what was found and what was expected
 */
public record Finding(FindingKind kind, String entry, String message) {

    /**
     * Tells whether the configuration should not be sent.
     *
     * @return true for an error
     */
    public boolean isError() {
        return kind.severity() == Severity.ERROR;
    }
}
