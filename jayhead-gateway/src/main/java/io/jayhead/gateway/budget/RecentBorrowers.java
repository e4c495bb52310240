package io.jayhead.gateway.budget;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers to which routers the tokens of one budget were lent lately; used by the traffic thread.
 *
 * <p>The load pattern: in a large fleet the requests of an organisation arrive at a few routers, which borrow the
 * tokens of the holders ahead. Once the holders have none left, one of these routers refuses requests while another one
 * still has tokens. A holder that cannot lend therefore names the routers that have borrowed most.
 */
final class RecentBorrowers {

    /** Each router named costs the asking one a message while its requests wait. */
    private static final int MAX_NAMED = 2;
    /** A router that has borrowed less has hardly any tokens left. */
    private static final double MIN_TOKENS_PER_S = 1;

    private final Map<String, DemandRate> byVm = new HashMap<>();

    void lent(String vmName, long tokens) {
        if (tokens > 0) {
            byVm.computeIfAbsent(vmName, name -> new DemandRate()).add(tokens);
        }
    }

    /** Returns the VMs of the routers that have borrowed most lately, without the one that asks. */
    List<String> largestExcept(String askingVm) {
        byVm.values().removeIf(rate -> rate.sustainedTokensPerS() < MIN_TOKENS_PER_S);
        return byVm.entrySet().stream()
                .filter(borrower -> !borrower.getKey().equals(askingVm))
                .sorted(Comparator.comparingDouble(
                        borrower -> -borrower.getValue().sustainedTokensPerS()))
                .limit(MAX_NAMED)
                .map(Map.Entry::getKey)
                .toList();
    }
}
