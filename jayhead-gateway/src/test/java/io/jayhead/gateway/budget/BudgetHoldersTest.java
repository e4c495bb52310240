package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.control.RouterAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against an uneven or unstable choice of budget holders. A few routers would then hold most budgets, or the
 * loss of a router would move budgets that it does not hold.
 */
class BudgetHoldersTest {

    @Test
    void allRoutersOfASmallFleetHoldEachBudget() {
        assertEquals(7, BudgetHolders.of("shop", fleet(7)).size());
    }

    @Test
    void theLossOfARouterReplacesOnlyThatHolder() {
        List<RouterAddress> fleet = fleet(71);
        List<RouterAddress> before = BudgetHolders.of("shop", fleet);
        List<RouterAddress> remaining = new ArrayList<>(fleet);
        remaining.remove(before.get(0));
        assertTrue(BudgetHolders.of("shop", remaining).containsAll(before.subList(1, before.size())));
    }

    @Test
    void holdersOfManyBudgetsSpreadOverALargeFleet() {
        Map<String, Integer> budgetCountByVm = new HashMap<>();
        for (int organisation = 0; organisation < 1_000; organisation++) {
            BudgetHolders.of("organisation-" + organisation, fleet(100))
                    .forEach(router -> budgetCountByVm.merge(router.vmName(), 1, Integer::sum));
        }
        assertEquals(100, budgetCountByVm.size());
        assertTrue(budgetCountByVm.values().stream().allMatch(budgets -> budgets < 160), budgetCountByVm.toString());
    }

    private static List<RouterAddress> fleet(int size) {
        List<RouterAddress> routers = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            routers.add(new RouterAddress("front-" + index, new InetSocketAddress("127.0.0.1", 1_000 + index)));
        }
        return routers;
    }
}
