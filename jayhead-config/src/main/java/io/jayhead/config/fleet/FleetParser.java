package io.jayhead.config.fleet;

import io.jayhead.config.yaml.Formats;
import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlText;
import io.jayhead.model.Either;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Parses and validates fleet texts, the YAML configuration of a fleet. */
public final class FleetParser {

    private FleetParser() {}

    /**
     * Parses a fleet text.
     *
     * @param text the text in YAML
     * @return the specification, or all problems found in the order of their lines
     */
    public static Either<List<ConfigProblem>, FleetSpec> parse(String text) {
        ConfigProblems problems = new ConfigProblems();
        FleetSpec spec =
                YamlText.read(text, problems).map(root -> read(root, problems)).orElseGet(FleetSpec::empty);
        return problems.orElse(() -> spec);
    }

    private static FleetSpec read(YamlSection root, ConfigProblems problems) {
        Optional<String> fleet = root.required("fleet", Formats.NAME_RULE)
                .flatMap(value -> value.text(Formats.NAME_RULE, Formats::name));
        FleetSections sections = FleetSections.of(root);
        FleetNames names = FleetNames.of(sections);
        var models = readAll(sections.models(), new ModelReader(names, problems)::read);
        var upstreams = readAll(sections.upstreams(), new UpstreamReader(problems)::read);
        var services = readAll(sections.services(), new ServiceReader(names, problems)::read);
        CycleCheck.run(sections.services());
        var organisations = readAll(sections.organisations(), new OrganisationReader(problems)::read);
        var budgets = readAll(sections.budgets(), new BudgetReader(names, problems)::read);
        return problems.unlessReportedSince(
                        0, () -> FleetSpec.of(fleet.orElseThrow(), models, upstreams, services, organisations, budgets))
                .orElseGet(FleetSpec::empty);
    }

    private static <T> List<T> readAll(List<NamedSection> sections, Function<NamedSection, Optional<T>> reader) {
        return sections.stream().map(reader).flatMap(Optional::stream).toList();
    }
}
