package io.jayhead.gateway.budget;

import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the routers that take tokens of a budget ahead from the ledger.
 *
 * <p>In a large fleet one router seldom sees two requests of the same organisation within seconds. Few routers hold the
 * tokens then, by highest random weight, and the others borrow from them; the ledger is asked by few and stays small.
 */
final class BudgetHolders {

    /** Up to this size of the fleet, every router sees enough requests of every budget to hold tokens itself. */
    static final int SMALL_FLEET = 8;
    /** Several holders survive the loss of some; few of them share a ledger page without conflicts. */
    static final int HOLDERS = 4;

    private BudgetHolders() {}

    static List<RouterAddress> of(String organisation, List<RouterAddress> routers) {
        if (routers.size() <= SMALL_FLEET) {
            return routers;
        }
        return routers.stream()
                .sorted(Comparator.comparingInt(router -> RendezvousHash.weight(router.vmName(), organisation)))
                .limit(HOLDERS)
                .toList();
    }
}
