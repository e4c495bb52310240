package io.jayhead.config.fleet;

import io.jayhead.config.yaml.Formats;
import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.Optional;
import java.util.Set;

/** Reads the upstreams of a fleet text. */
final class UpstreamReader {

    private static final Set<String> KEYS =
            Set.of("name", "type", "availability_zone", "address", "checks_fencing", "leaving");
    private static final String TYPE_RULE = "one of model_engine, plain_service";

    private final ConfigProblems problems;

    UpstreamReader(ConfigProblems problems) {
        this.problems = problems;
    }

    Optional<UpstreamSpec> read(NamedSection entry) {
        int countBefore = problems.count();
        YamlSection section = entry.section();
        section.allowOnly(KEYS);
        Optional<UpstreamType> type =
                section.required("type", TYPE_RULE).flatMap(value -> value.text(TYPE_RULE, FleetNames::upstreamType));
        Optional<String> availabilityZone = section.required("availability_zone", Formats.NAME_RULE)
                .flatMap(value -> value.text(Formats.NAME_RULE, Formats::name));
        Optional<String> address = section.required("address", Formats.URL_RULE)
                .flatMap(value -> value.text(Formats.URL_RULE, Formats::httpUrl));
        // No default: whether an upstream checks fencing decides whether the grant of a lost holder may be reclaimed.
        Optional<Boolean> checksFencing =
                section.required("checks_fencing", "true or false").flatMap(YamlValue::flag);
        Optional<Boolean> leaving = section.optional("leaving").flatMap(YamlValue::flag);
        if (entry.name().isEmpty()) {
            return Optional.empty();
        }
        return problems.unlessReportedSince(
                countBefore,
                () -> new UpstreamSpec(
                        UpstreamName.of(entry.name().get()),
                        type.orElseThrow(),
                        AvailabilityZone.of(availabilityZone.orElseThrow()),
                        address.orElseThrow(),
                        checksFencing.orElseThrow(),
                        leaving.orElse(false)));
    }
}
