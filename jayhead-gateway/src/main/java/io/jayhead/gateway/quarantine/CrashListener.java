package io.jayhead.gateway.quarantine;

import io.jayhead.admission.quarantine.PartCrashes;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Receives what this router learns about parts of prompts, and decides on trials; called on the traffic thread. */
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

    /**
     * Asks whether one request may be sent although a part of its prompt is blocked.
     *
     * @param part the part, the only blocked one of the prompt
     * @param decided receives the trial once all routers know of it, or empty if none is due; called on another thread
     */
    void requestTrial(String part, Consumer<Optional<PromptTrial>> decided);
}
