package io.jayhead.gateway.quarantine;

import io.jayhead.admission.quarantine.PartCrashes;
import java.util.List;

/** Receives what this router learns about parts of prompts; called on the traffic thread. */
public interface CrashListener {

    /**
     * Reports that upstreams ended before they answered prompts with certain parts.
     *
     * @param crashes the parts with the upstreams that ended
     */
    void crashed(List<PartCrashes> crashes);

    /**
     * Reports that an upstream has answered a prompt with a part that is on record.
     *
     * @param part the part
     */
    void answered(String part);
}
