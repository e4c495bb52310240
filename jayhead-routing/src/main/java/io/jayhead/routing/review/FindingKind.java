package io.jayhead.routing.review;

/** The kinds of findings in a configuration. */
public enum FindingKind {
    /** A field is missing, or has a type or value that routers do not read. */
    INVALID_FIELD(Severity.ERROR),
    /** An entry has the name of an earlier one. */
    DUPLICATE_NAME(Severity.ERROR),
    /** Two organisations have the same key. */
    SHARED_KEY(Severity.ERROR),
    /** Routers ignore the configuration, since the version in force is at least as high. */
    VERSION_NOT_HIGHER(Severity.ERROR),
    /** Another route has the same host and prefix and gets all requests. */
    ROUTE_NEVER_MATCHES(Severity.ERROR),
    /** A route names no service, or one that is not configured. */
    UNKNOWN_SERVICE(Severity.ERROR),
    /** No request of an organisation on a route is in a region that both allow. */
    NO_COMMON_REGION(Severity.WARNING),
    /** No route leads to a service. */
    SERVICE_NEVER_USED(Severity.WARNING),
    /** An organisation has no key, so that nobody can call for it. */
    ORGANISATION_WITHOUT_KEY(Severity.WARNING),
    /** An organisation has a prepaid budget without tokens. */
    EMPTY_BUDGET(Severity.WARNING),
    /** Requests end at their time limit before they can be late. */
    TIME_LIMIT_BELOW_OBJECTIVE(Severity.WARNING),
    /** A route allows attempts that its kind never makes. */
    ATTEMPTS_WITHOUT_EFFECT(Severity.WARNING),
    /** A route sets what only streams have. */
    STREAM_SETTING_WITHOUT_EFFECT(Severity.WARNING),
    /** An idle connection is closed before a slow head of a request is refused. */
    IDLE_LIMIT_BELOW_HEAD_LIMIT(Severity.WARNING);

    private final Severity severity;

    FindingKind(Severity severity) {
        this.severity = severity;
    }

    /**
     * Returns the severity of all findings of this kind.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }
}
