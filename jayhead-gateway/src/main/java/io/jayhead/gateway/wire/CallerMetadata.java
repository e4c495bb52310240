package io.jayhead.gateway.wire;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The values of the headers of a caller's request.
 *
 * @param requestId the id of the request; empty if missing
 * @param deadlineMs the milliseconds for which the caller waits; empty if not named
 * @param key the caller's API key; empty if missing
 * @param size the tokens of a generation; empty for other requests
 * @param malformedSize whether the request names a size that could not be read, so that it could not be billed
 * @param promptParts the parts of the prompt; empty for other requests
 */
public record CallerMetadata(
        String requestId,
        OptionalLong deadlineMs,
        Optional<String> key,
        Optional<GenerationSize> size,
        boolean malformedSize,
        List<PromptPart> promptParts) {

    /** Makes an immutable copy of the parts. */
    public CallerMetadata {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the leading parts of the prompt, which other requests may share.
     *
     * @return all parts but the last; empty if there are fewer than two
     */
    public List<PromptPart> sharedParts() {
        return promptParts.size() < 2 ? List.of() : promptParts.subList(0, promptParts.size() - 1);
    }

    /**
     * Returns the identities of the leading parts of the prompt, which other requests may share.
     *
     * @return the identities in the order of the parts
     */
    public List<String> sharedPartIds() {
        return sharedParts().stream().map(PromptPart::id).toList();
    }
}
