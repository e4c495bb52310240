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

class BudgetHoldersTest {

    @Test
    void allRoutersOfASmallFleetHoldEachBudget() {
        assertEquals(7, BudgetHolders.of("shop", fleet(7)).size());
    }

    @Test
    void theLossOfARouterReplacesOnlyThatHolder() {
        List<RouterAddress> fleet = fleet(71);
        List<RouterAddress> before = BudgetHolders.of("shop", fleet);
        List<RouterAddress> rest = new ArrayList<>(fleet);
        rest.remove(before.get(0));
        assertTrue(BudgetHolders.of("shop", rest).containsAll(before.subList(1, before.size())));
    }

    @Test
    void holdersOfManyBudgetsSpreadOverALargeFleet() {
        Map<String, Integer> budgetsOf = new HashMap<>();
        for (int organisation = 0; organisation < 1_000; organisation++) {
            BudgetHolders.of("organisation-" + organisation, fleet(100))
                    .forEach(router -> budgetsOf.merge(router.vmName(), 1, Integer::sum));
        }
        assertEquals(100, budgetsOf.size());
        assertTrue(budgetsOf.values().stream().allMatch(budgets -> budgets < 160), budgetsOf.toString());
    }

    private static List<RouterAddress> fleet(int size) {
        List<RouterAddress> routers = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            routers.add(new RouterAddress("front-" + index, new InetSocketAddress("127.0.0.1", 1_000 + index)));
        }
        return routers;
    }
}
