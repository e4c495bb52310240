package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against an upstream that ends under what all routers together send it while it warms up.
 *
 * <p>The load pattern: every router of a fleet always has a request for the upstream that looks idle.
 */
class WarmUpShareTest {

    private static final double REQUESTS_PER_S = 9.9;
    private static final long WINDOW_MS = 1_000;
    private static final long RUN_MS = 4_000;
    private static final int SEEDS = 40;
    private static final int LARGE_FLEET = 77;

    @Test
    void theSharesOfAllRoutersAddUpToTheLimit() {
        for (int fleet = 1; fleet <= LARGE_FLEET; fleet++) {
            List<String> routers = routers(fleet);
            int sum = 0;
            for (String router : routers) {
                sum += WarmUpShare.of("i@1", router, routers, REQUESTS_PER_S).requests();
            }
            assertEquals(9, sum, "fleet of " + fleet);
        }
    }

    @Test
    void aSmallFleetDividesTheLimitEvenly() {
        List<String> routers = routers(6);
        for (String router : routers) {
            int requests =
                    WarmUpShare.of("i@1", router, routers, REQUESTS_PER_S).requests();
            assertTrue(requests == 1 || requests == 2, router + " has " + requests);
        }
    }

    @Test
    void inALargeFleetEachUpstreamHasOtherRouters() {
        List<String> routers = routers(LARGE_FLEET);
        Set<String> inCharge = new HashSet<>();
        for (int upstream = 0; upstream < 30; upstream++) {
            for (String router : routers) {
                if (WarmUpShare.of("i" + upstream + "@1", router, routers, REQUESTS_PER_S)
                                .requests()
                        > 0) {
                    inCharge.add(router);
                }
            }
        }
        assertTrue(inCharge.size() > LARGE_FLEET * 9 / 10, "only " + inCharge.size() + " routers are in charge");
    }

    @Test
    void anUpstreamThatTakesLessThanOneRequestASecondGetsThemFromOneRouter() {
        List<String> routers = routers(LARGE_FLEET);
        List<WarmUpShare> shares = new ArrayList<>();
        for (String router : routers) {
            WarmUpShare share = WarmUpShare.of("i@1", router, routers, 0.4);
            if (share.requests() > 0) {
                shares.add(share);
            }
        }
        assertEquals(List.of(new WarmUpShare(1, 2_500)), shares);
    }

    @Test
    void aRouterThatKnowsNoRoutersSendsNothing() {
        assertEquals(WarmUpShare.NONE, WarmUpShare.of("i@1", "vm-1", List.of(), REQUESTS_PER_S));
        assertFalse(RecentSends.none().allows(WarmUpShare.NONE, 0));
    }

    @Test
    void aRouterThatIsNotAnnouncedYetCountsItself() {
        List<String> others = routers(LARGE_FLEET);
        List<String> all = new ArrayList<>(others);
        all.add("vm-new");
        assertEquals(
                WarmUpShare.of("i@1", "vm-new", all, REQUESTS_PER_S),
                WarmUpShare.of("i@1", "vm-new", others, REQUESTS_PER_S));
    }

    @Test
    void noWindowHasMoreThanTheLimitWhateverTheRoutersHaveToSend() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<String> routers = routers(1 + random.nextInt(LARGE_FLEET));
            Map<String, List<String>> known = new HashMap<>();
            routers.forEach(router -> known.put(router, routers));
            assertTrue(mostInAnyWindow(known, random) <= REQUESTS_PER_S, "seed " + seed);
        }
    }

    /** Routers that have missed the latest announcements take more than their share, but few of them do. */
    @Test
    void routersThatDoNotKnowTheLatestOnesStayBelowTwiceTheLimit() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<String> routers = routers(LARGE_FLEET);
            Map<String, List<String>> known = new HashMap<>();
            for (String router : routers) {
                int missed = random.nextInt(routers.size() / 4);
                known.put(router, routers.subList(0, routers.size() - missed));
            }
            assertTrue(mostInAnyWindow(known, random) <= 2 * REQUESTS_PER_S, "seed " + seed);
        }
    }

    /** Returns the most requests that reach the upstream within one second. */
    private static int mostInAnyWindow(Map<String, List<String>> knownRouters, Random random) {
        List<Long> sentAtMs = new ArrayList<>();
        for (Map.Entry<String, List<String>> router : knownRouters.entrySet()) {
            WarmUpShare share = WarmUpShare.of("i@1", router.getKey(), router.getValue(), REQUESTS_PER_S);
            RecentSends sends = RecentSends.none();
            for (long nowMs = random.nextInt(20); nowMs < RUN_MS; nowMs += 1 + random.nextInt(20)) {
                if (sends.allows(share, nowMs)) {
                    sends = sends.with(share, nowMs);
                    sentAtMs.add(nowMs);
                }
            }
        }
        Collections.sort(sentAtMs);
        int most = 0;
        int first = 0;
        for (int last = 0; last < sentAtMs.size(); last++) {
            while (sentAtMs.get(last) - sentAtMs.get(first) > WINDOW_MS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static List<String> routers(int count) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            names.add("vm-" + index);
        }
        return names;
    }
}
