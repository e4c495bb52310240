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

    /** Several holders survive the loss of some; each adds to what is stranded when all are killed. */
    static final int HOLDERS = 8;

    private BudgetHolders() {}

    static List<RouterAddress> of(String organisation, List<RouterAddress> routers) {
        if (routers.size() <= HOLDERS) {
            return routers;
        }
        return routers.stream()
                .sorted(Comparator.comparingInt(router -> RendezvousHash.weight(router.vmName(), organisation)))
                .limit(HOLDERS)
                .toList();
    }
}
