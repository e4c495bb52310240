package io.jayhead.gateway.budget;

import io.jayhead.gateway.control.RouterAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which router has lent tokens of one budget last, and which had too few; used by the traffic thread.
 *
 * <p>In an outage of the ledger all routers of a large fleet borrow from the same few holders, some of which run out of
 * tokens before others. Otherwise each request would ask the empty ones again.
 */
final class Lenders {

    private final Map<String, FailedLoans> failures = new HashMap<>();
    private String lastLender = "";

    /**
     * Chooses the routers to ask for a loan.
     *
     * @param routers the routers that hold the budget
     * @param need the loan
     * @return the routers, without those that have recently lacked as many tokens; in an outage of the ledger, the one
     *     that has lent last is the first
     */
    List<RouterAddress> toAsk(List<RouterAddress> routers, LoanNeed need) {
        return routers.stream()
                .filter(router -> !hasFailedRecently(router, need))
                .sorted(Comparator.comparing(
                        router -> !need.cutOff() || !router.vmName().equals(lastLender)))
                .toList();
    }

    /**
     * Records the answer of a router.
     *
     * @param vmName the VM of the router
     * @param asked what it was asked for
     * @param lentTokens the tokens that it lent
     */
    void answered(String vmName, LoanNeed asked, long lentTokens) {
        if (lentTokens >= asked.wantedTokens()) {
            lastLender = vmName;
            failures.remove(vmName);
            return;
        }
        failures.computeIfAbsent(vmName, name -> new FailedLoans()).recordFailure(asked.rank(), asked.neededTokens());
    }

    private boolean hasFailedRecently(RouterAddress router, LoanNeed need) {
        FailedLoans failure = failures.get(router.vmName());
        return failure != null && failure.hasFailedRecently(need.rank(), need.neededTokens());
    }
}
