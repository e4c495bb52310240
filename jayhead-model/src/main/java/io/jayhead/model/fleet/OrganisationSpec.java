package io.jayhead.model.fleet;

import io.jayhead.model.OrganisationName;
import java.util.List;

/**
 * Describes an organisation.
 *
 * @param name the name
 * @param apiKeyDigests the SHA-256 digests of its API keys in lower-case hexadecimal
 * @param priority the priority from 0 to 9
 * @param maxInFlight the most requests that one router runs for it at a time
 */
public record OrganisationSpec(OrganisationName name, List<String> apiKeyDigests, int priority, int maxInFlight) {

    /** Copies the list. */
    public OrganisationSpec {
        apiKeyDigests = List.copyOf(apiKeyDigests);
    }
}
