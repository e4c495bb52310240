package io.jayhead.daemon.fleet;

import io.jayhead.config.fleet.ConfigProblem;
import java.util.List;

/** Tells an operator what became of a change of the configuration. */
public sealed interface ApplyOutcome {

    /** Every router uses the version or takes no new work. */
    record Accepted(long version) implements ApplyOutcome {}

    /** The version is written and will spread, but a majority of the routers has not confirmed it in time. */
    record Written(long version) implements ApplyOutcome {}

    /** Another change won. */
    record Conflict(long version) implements ApplyOutcome {}

    /** The text is invalid; nothing was written. */
    record Invalid(List<ConfigProblem> problems) implements ApplyOutcome {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The platform did not answer; nothing was written. */
    record Unavailable(String reason) implements ApplyOutcome {}

    /** The write may have taken effect; the change id tells. */
    record Unknown(String reason) implements ApplyOutcome {}
}
