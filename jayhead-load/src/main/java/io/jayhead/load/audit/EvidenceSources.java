package io.jayhead.load.audit;

import java.util.List;
import java.util.Optional;

/**
 * Holds the addresses from which evidence is read.
 *
 * @param operatorsAddress the operators address of a router; empty to skip the checks of budgets
 * @param operatorCredential the operator credential; empty to send none
 * @param platformAddress the address of the platform; empty to skip the checks of bills
 * @param bookingAddresses the addresses of the booking stand-ins; empty to skip the checks of executions
 */
public record EvidenceSources(
        Optional<String> operatorsAddress,
        String operatorCredential,
        Optional<String> platformAddress,
        List<String> bookingAddresses) {

    /** Copies the list. */
    public EvidenceSources {
        bookingAddresses = List.copyOf(bookingAddresses);
    }
}
