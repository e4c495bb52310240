package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.GrantRule;
import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the routers that hold a budget, that is, prefetch its tokens from the ledger.
 *
 * <p>In a large fleet a router seldom receives two requests of the same organisation within seconds. There, only a few
 * routers hold the tokens, chosen by rendezvous hashing, and the others borrow from them, so that few routers call the
 * ledger and its pages stay small. Up to {@link GrantRule#SMALL_FLEET}, every router receives enough requests of every
 * budget to hold tokens itself.
 */
final class BudgetHolders {

    /** Several holders tolerate the loss of some; a small number keeps update conflicts on a ledger page rare. */
    static final int HOLDERS = 4;

    private BudgetHolders() {}

    static List<RouterAddress> of(String organisation, List<RouterAddress> routers) {
        if (routers.size() <= GrantRule.SMALL_FLEET) {
            return routers;
        }
        return routers.stream()
                .sorted(Comparator.comparingInt(router -> RendezvousHash.weight(router.vmName(), organisation)))
                .limit(HOLDERS)
                .toList();
    }
}
