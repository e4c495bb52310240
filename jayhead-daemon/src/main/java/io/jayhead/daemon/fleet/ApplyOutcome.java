package io.jayhead.daemon.fleet;

import io.jayhead.config.fleet.ConfigProblem;
import java.util.List;

/** Describes the result of a configuration change to the operator who requested it. */
public sealed interface ApplyOutcome {

    /**
     * The change was accepted: every router uses the new version or takes no new work.
     *
     * @param version the new configuration version
     */
    record Accepted(long version) implements ApplyOutcome {}

    /**
     * The change is stored in the platform and will reach all routers, but could not be confirmed as accepted in time:
     * a majority of the routers had not adopted it, or had adopted it too recently for every other router to have lost
     * its freshness.
     *
     * @param version the new configuration version
     */
    record Written(long version) implements ApplyOutcome {}

    /**
     * The expected version is not the current one; nothing was written.
     *
     * @param version the current configuration version
     */
    record Conflict(long version) implements ApplyOutcome {}

    /**
     * The fleet text is invalid; nothing was written.
     *
     * @param problems the problems found
     */
    record Invalid(List<ConfigProblem> problems) implements ApplyOutcome {
        /** Copies the problems. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The platform did not answer or refused the write, or every attempt conflicted with another write; nothing was
     * written.
     *
     * @param reason the cause
     */
    record Unavailable(String reason) implements ApplyOutcome {}

    /**
     * The write may have taken effect. The change id of the stored configuration shows whether it did.
     *
     * @param reason the cause
     */
    record Unknown(String reason) implements ApplyOutcome {}
}
