package io.jayhead.model.fleet;

import io.jayhead.model.OrganisationName;
import java.util.List;

/**
 * Describes an organisation.
 *
 * @param name the name of the organisation
 * @param apiKeyDigests the SHA-256 digests of its API keys in lower-case hexadecimal
 * @param priority the priority of the organisation, from 0 to 9; the priority of a request is its mean with that of the
 *     request kind
 * @param maxInFlight the maximum number of its requests in flight at one router
 */
public record OrganisationSpec(OrganisationName name, List<String> apiKeyDigests, int priority, int maxInFlight) {

    /** Copies the list. */
    public OrganisationSpec {
        apiKeyDigests = List.copyOf(apiKeyDigests);
    }
}
