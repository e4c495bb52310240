package io.jayhead.bench.cases;

import io.jayhead.bench.measure.BenchCase;
import java.util.List;
import java.util.stream.Stream;

/** Lists the cases of all components. */
public final class AllCases {

    private AllCases() {}

    /**
     * Returns all cases.
     *
     * @param seed the seed of random choices
     * @return the cases; those of one series follow one another
     */
    public static List<BenchCase> of(long seed) {
        return Stream.of(
                        AdmissionCases.of(seed),
                        RoutingCases.of(seed),
                        FreshnessCases.of(),
                        FleetCases.of(seed),
                        ChargeCases.of(),
                        LedgerCases.of(),
                        PeerCases.of(),
                        LoadReportCases.of())
                .flatMap(List::stream)
                .toList();
    }
}
