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

/**
 * Guards against overspending a budget in any interleaving of ledger writes, loans, restarts and reclaims.
 *
 * <p>Tokens would be spent twice if a router wrote on a stale read, a lost reply were counted wrongly, a repeated loan
 * were added again, or a holder went on spending after its entry was reclaimed.
 */
class BudgetPropertyTest {

    private static final List<Tuple.Tuple2<Integer, Action.Kind>> FREQUENCIES = Stream.of(Action.Kind.values())
            .map(kind -> Tuple.of(kind.frequency, kind))
            .toList();

    private static final List<Action.Kind> RECLAIM_KINDS =
            List.of(Action.Kind.BEGIN_RECLAIM, Action.Kind.FENCE, Action.Kind.COMPLETE_RECLAIM);

    @Property(tries = 3000)
    @StatisticsReport(onFailureOnly = true)
    void consumedAndSpendableTokensNeverExceedThePaidTokens(@ForAll("actions") List<Action> actions) {
        BudgetSimulation simulation = new BudgetSimulation(3);
        for (Action action : actions) {
            simulation.run(action);
            assertTrue(
                    simulation.spentTokens() + simulation.spendableTokens() <= simulation.ledger.paidTokens(),
                    () -> "after "
                            + action + ": spent " + simulation.spentTokens() + ", spendable "
                            + simulation.spendableTokens()
                            + ", paid " + simulation.ledger.paidTokens());
        }
        checkCoverage(
                "borrows",
                simulation.holders.stream().anyMatch(holder -> holder.account().borrowedTokens() > 0));
        checkCoverage("reclaims", simulation.holders.stream().anyMatch(holder -> holder.reclaimed));
        simulation.closeAll();
        assertTrue(simulation.ledger.retiredTokens() >= simulation.spentTokens());
    }

    @Property(tries = 2000)
    void withoutReclaimsTheLedgerRetiresWhatWasConsumedAndStranded(@ForAll("actions") List<Action> actions) {
        BudgetSimulation simulation = new BudgetSimulation(3);
        actions.stream()
                .filter(action -> !RECLAIM_KINDS.contains(action.kind()))
                .forEach(simulation::run);
        simulation.closeAll();
        assertEquals(simulation.spentTokens() + simulation.strandedTokens, simulation.ledger.retiredTokens());
    }

    /** Fails if too few runs reach a case, because the property would then not cover it. */
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
