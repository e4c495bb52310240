package io.jayhead.load.audit;

import java.util.List;
import java.util.Optional;

/**
 * Names the addresses that evidence is read from.
 *
 * @param operators the operators address of a router
 * @param operatorCredential the credential of operators
 * @param platform the address of the platform
 * @param bookings the addresses of the booking stand-ins; empty to skip their checks
 */
public record EvidenceSources(
        Optional<String> operators, String operatorCredential, Optional<String> platform, List<String> bookings) {

    /** Copies the list. */
    public EvidenceSources {
        bookings = List.copyOf(bookings);
    }
}
