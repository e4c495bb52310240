package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ServiceName;
import io.jayhead.model.fleet.BudgetSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads the budgets of a fleet text and reports services that two budgets of the same organisation pay for. */
final class BudgetReader {

    private static final Set<String> KEYS = Set.of("name", "organisation", "services");
    private static final String ORGANISATION_RULE = "the name of an organisation of this fleet";
    private static final String SERVICES_RULE = "a list of services";
    private static final String SERVICE_RULE = "the name of a service of this fleet";

    private final FleetNames names;
    private final ConfigProblems problems;
    private final Map<BudgetId, Integer> budgetLines = new HashMap<>();
    private final Map<PaidService, BudgetId> payingBudgets = new HashMap<>();

    BudgetReader(FleetNames names, ConfigProblems problems) {
        this.names = names;
        this.problems = problems;
    }

    Optional<BudgetSpec> read(NamedSection entry) {
        int countBefore = problems.count();
        YamlSection section = entry.section();
        section.allowOnly(KEYS);
        Optional<String> organisation = section.required("organisation", ORGANISATION_RULE)
                .flatMap(value -> References.read(value, names.organisations(), ORGANISATION_RULE));
        List<YamlValue> values = section.required("services", SERVICES_RULE)
                .map(YamlValue::items)
                .orElse(List.of());
        List<String> services = References.readAll(values, names.services().keySet(), SERVICE_RULE);
        if (entry.name().isEmpty() || organisation.isEmpty()) {
            return Optional.empty();
        }
        BudgetId id = BudgetId.of(organisation.get(), entry.name().get());
        requireUnique(id, section);
        values.forEach(value -> requireOnePayingBudget(id, value));
        return problems.unlessReportedSince(
                countBefore,
                () -> new BudgetSpec(id, services.stream().map(ServiceName::of).toList()));
    }

    private void requireUnique(BudgetId id, YamlSection section) {
        YamlValue name = section.optional("name").orElseThrow();
        Integer earlierLine = budgetLines.putIfAbsent(id, name.line());
        if (earlierLine != null) {
            name.reject("a unique name", "\"" + id.budget() + "\", which line " + earlierLine + " uses");
        }
    }

    private void requireOnePayingBudget(BudgetId id, YamlValue value) {
        Optional<BudgetId> payingBudget = value.peek()
                .map(service -> payingBudgets.putIfAbsent(
                        new PaidService(id.organisation().value(), service), id));
        payingBudget
                .filter(otherBudget -> !otherBudget.equals(id))
                .ifPresent(otherBudget -> value.reject(
                        "a service in one budget of " + id.organisation() + " only",
                        "a service of budget \"" + otherBudget.budget() + "\""));
    }

    private record PaidService(String organisation, String service) {}
}
