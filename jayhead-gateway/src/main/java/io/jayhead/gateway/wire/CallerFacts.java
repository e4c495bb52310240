package io.jayhead.gateway.wire;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say.
 *
 * @param requestId the identity of the request; empty if there is none
 * @param deadlineMs how long the caller waits; empty if it does not say
 * @param key the caller's key; empty if there is none
 * @param size the size of a generation; empty for other requests
 * @param promptParts the parts of the prompt; empty for other requests
 */
public record CallerFacts(
        String requestId,
        OptionalLong deadlineMs,
        Optional<String> key,
        Optional<GenerationSize> size,
        List<PromptPart> promptParts) {

    /** Copies the parts. */
    public CallerFacts {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the leading parts that other requests share.
     *
     * @return all parts but the last one
     */
    public List<PromptPart> sharedParts() {
        return promptParts.size() < 2 ? List.of() : promptParts.subList(0, promptParts.size() - 1);
    }
}
