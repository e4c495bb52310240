package io.jayhead.bench.cases;

import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.config.fleet.FleetParser;
import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.ServiceName;
import io.jayhead.model.fleet.BudgetSpec;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.OrganisationSpec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures the parsing of fleet texts, look-ups in the fleet specification and its retained memory. */
final class FleetCases {

    /** The text of the largest fleet is close to the limit of 900,000 bytes. */
    private static final Series TEXT = Series.of("organisations with 7 budgets", 10, 100, 400, 1_100);

    private static final Series BUDGETS = Series.of("budgets, 7 an organisation", 70, 1_000, 10_000, 100_000);
    private static final int SERVICES = SyntheticFleet.TARGET_BUDGETS;

    private FleetCases() {}

    static List<BenchCase> of(long seed) {
        return Stream.of(
                        TEXT.timed("fleet: parse", FleetCases::parse),
                        TEXT.encoded("fleet: text", FleetCases::textBytes),
                        BUDGETS.timed("fleet: index of the specification", FleetCases::index),
                        BUDGETS.timed("fleet: budgetFor", size -> budgetFor(spec(size), size, seed)),
                        BUDGETS.timed("fleet: organisation by key", size -> organisationByKey(spec(size), size, seed)),
                        BUDGETS.retained("fleet: specification", FleetCases::spec))
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation parse(int organisations) {
        String text = SyntheticFleet.ofOrganisations(organisations).text();
        return () -> FleetParser.parse(text).get();
    }

    private static int textBytes(int organisations) {
        return SyntheticFleet.ofOrganisations(organisations).text().getBytes(StandardCharsets.UTF_8).length;
    }

    private static Operation index(int budgets) {
        List<OrganisationSpec> organisations = organisations(budgets);
        List<BudgetSpec> budgetSpecs = budgets(budgets);
        return () -> FleetSpec.of("bench", List.of(), List.of(), List.of(), organisations, budgetSpecs);
    }

    private static Operation budgetFor(FleetSpec spec, int budgets, long seed) {
        Random random = new Random(seed);
        return () -> {
            int index = random.nextInt(budgets);
            return spec.budgetFor(OrganisationName.of("organisation-" + index / SERVICES), service(index));
        };
    }

    private static Operation organisationByKey(FleetSpec spec, int budgets, long seed) {
        Random random = new Random(seed);
        List<String> digests = List.copyOf(spec.organisationsByKeyDigest().keySet());
        return () -> spec.organisationsByKeyDigest().get(digests.get(random.nextInt(digests.size())));
    }

    private static FleetSpec spec(int budgets) {
        return FleetSpec.of("bench", List.of(), List.of(), List.of(), organisations(budgets), budgets(budgets));
    }

    private static List<OrganisationSpec> organisations(int budgets) {
        return IntStream.rangeClosed(0, budgets / SERVICES)
                .mapToObj(index -> new OrganisationSpec(
                        OrganisationName.of("organisation-" + index),
                        List.of(RequestKey.sha256("key-" + index)),
                        5,
                        64))
                .toList();
    }

    private static List<BudgetSpec> budgets(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new BudgetSpec(
                        BudgetId.of("organisation-" + index / SERVICES, "budget-" + index % SERVICES),
                        List.of(service(index))))
                .toList();
    }

    private static ServiceName service(int index) {
        return ServiceName.of("service-" + index % SERVICES);
    }
}
