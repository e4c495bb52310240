package io.jayhead.admission.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import net.jqwik.api.statistics.StatisticsReport;

/** Guards P1: no interleaving of routers, losses and reclaims spends more than was paid. */
class BudgetPropertyTest {

    private static final List<Tuple.Tuple2<Integer, Action.Kind>> FREQUENCIES = Stream.of(Action.Kind.values())
            .map(kind -> Tuple.of(kind.frequency, kind))
            .toList();

    private static final List<Action.Kind> RECLAIM =
            List.of(Action.Kind.BEGIN_RECLAIM, Action.Kind.FENCE, Action.Kind.COMPLETE_RECLAIM);

    @Property(tries = 3000)
    @StatisticsReport(onFailureOnly = true)
    void consumedAndSpendableTokensNeverExceedThePaidTokens(@ForAll("actions") List<Action> actions) {
        BudgetWorld world = new BudgetWorld(3);
        for (Action action : actions) {
            world.run(action);
            assertTrue(
                    world.spentTokens() + world.spendableTokens() <= world.ledger.paidTokens(),
                    () -> "after "
                            + action + ": spent " + world.spentTokens() + ", spendable " + world.spendableTokens()
                            + ", paid " + world.ledger.paidTokens());
        }
        checkCoverage(
                "borrows",
                world.holders.stream().anyMatch(holder -> holder.account().borrowedTokens() > 0));
        checkCoverage("reclaims", world.holders.stream().anyMatch(holder -> holder.reclaimed));
        world.closeAll();
        assertTrue(world.ledger.retiredTokens() >= world.spentTokens());
    }

    @Property(tries = 2000)
    void withoutReclaimsTheLedgerRetiresWhatWasConsumedAndStranded(@ForAll("actions") List<Action> actions) {
        BudgetWorld world = new BudgetWorld(3);
        actions.stream().filter(action -> !RECLAIM.contains(action.kind())).forEach(world::run);
        world.closeAll();
        assertEquals(world.spentTokens() + world.strandedTokens, world.ledger.retiredTokens());
    }

    /** Fails when too few runs reach the case, because the property would then prove nothing about it. */
    private static void checkCoverage(String label, boolean reached) {
        Statistics.label(label)
                .collect(reached)
                .coverage(checker -> checker.check(true).percentage(percentage -> percentage >= 5));
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Action> action = Combinators.combine(
                        Arbitraries.frequency(FREQUENCIES),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.longs().between(0, 60),
                        Arbitraries.frequency(Tuple.of(1, true), Tuple.of(4, false)),
                        Arbitraries.frequency(Tuple.of(1, true), Tuple.of(6, false)))
                .as(Action::new);
        return action.list().ofMinSize(120).ofMaxSize(300);
    }
}
