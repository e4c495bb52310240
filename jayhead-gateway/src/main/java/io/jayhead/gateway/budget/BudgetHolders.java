package io.jayhead.gateway.budget;

import io.jayhead.gateway.control.RouterAddress;
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
                .sorted(Comparator.comparingInt(router -> weight(organisation, router.vmName())))
                .limit(HOLDERS)
                .toList();
    }

    /** Mixes the bits of both hashes (the finalizer of MurmurHash3). */
    private static int weight(String organisation, String vmName) {
        int hash = organisation.hashCode() * 31 + vmName.hashCode();
        hash ^= hash >>> 16;
        hash *= 0x85ebca6b;
        hash ^= hash >>> 13;
        hash *= 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }
}
