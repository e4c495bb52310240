package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against overspending a prepaid budget when ledger updates are lost, repeated or executed late.
 *
 * <p>A router that relies on an update without a reply would own tokens that no page contains, or return tokens twice.
 */
class LedgerPropertyTest {

    @Property(tries = 2_000)
    void routersNeverOwnMoreThanThePrepaidTokens(@ForAll("steps") List<LedgerStep> steps) {
        LedgerSimulation simulation = new LedgerSimulation(4, 10_000);
        for (LedgerStep step : steps) {
            simulation.apply(step);
            assertTrue(
                    simulation.totalOwnedTokens() <= simulation.prepaidTokens(),
                    () -> "owned " + simulation.totalOwnedTokens());
            assertTrue(simulation.storeCoversSpentTokens(), "a return was applied twice");
        }
    }

    @Property(tries = 500)
    void tokensReturnToTheBudgetWhenTheStoreAnswersAgain(@ForAll("steps") List<LedgerStep> steps) {
        LedgerSimulation simulation = new LedgerSimulation(4, 10_000);
        steps.forEach(simulation::apply);
        simulation.completePendingUpdates();
        assertTrue(simulation.pageAgreesWithSessions(), "a page and a session disagree on what a router owns");
    }

    @Provide
    Arbitrary<List<LedgerStep>> steps() {
        Arbitrary<LedgerStep> step = Combinators.combine(
                        Arbitraries.of(LedgerStep.Action.values()),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.longs().between(1, 4_000))
                .as(LedgerStep::new);
        return step.list().ofMaxSize(80);
    }
}
