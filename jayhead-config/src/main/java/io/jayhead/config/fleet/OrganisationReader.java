package io.jayhead.config.fleet;

import io.jayhead.config.yaml.Formats;
import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.fleet.OrganisationSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads the organisations of a fleet text and reports API keys that are used twice. */
final class OrganisationReader {

    private static final Set<String> KEYS = Set.of("name", "api_key_sha256", "priority", "max_in_flight");
    private static final String DIGESTS_RULE = "a list of SHA-256 digests";
    private static final long MAX_PRIORITY = 9;
    private static final long DEFAULT_PRIORITY = 5;
    private static final long MAX_IN_FLIGHT = 100_000;
    private static final long DEFAULT_IN_FLIGHT = 64;

    private final ConfigProblems problems;
    private final Map<String, Integer> digestLines = new HashMap<>();

    OrganisationReader(ConfigProblems problems) {
        this.problems = problems;
    }

    Optional<OrganisationSpec> read(NamedSection entry) {
        int countBefore = problems.count();
        YamlSection section = entry.section();
        section.allowOnly(KEYS);
        List<String> digests = section.required("api_key_sha256", DIGESTS_RULE).map(YamlValue::items).stream()
                .flatMap(List::stream)
                .map(this::digest)
                .flatMap(Optional::stream)
                .toList();
        Optional<Long> priority = section.optional("priority").flatMap(value -> value.wholeNumber(0, MAX_PRIORITY));
        Optional<Long> maxInFlight =
                section.optional("max_in_flight").flatMap(value -> value.wholeNumber(1, MAX_IN_FLIGHT));
        if (entry.name().isEmpty()) {
            return Optional.empty();
        }
        return problems.unlessReportedSince(
                countBefore,
                () -> new OrganisationSpec(
                        OrganisationName.of(entry.name().get()),
                        digests,
                        priority.orElse(DEFAULT_PRIORITY).intValue(),
                        maxInFlight.orElse(DEFAULT_IN_FLIGHT).intValue()));
    }

    private Optional<String> digest(YamlValue value) {
        Optional<String> digest = value.digest(Formats.DIGEST_RULE, Formats.DIGEST);
        digest.map(text -> digestLines.putIfAbsent(text, value.line()))
                .ifPresent(line -> value.reject("a digest of one API key only", "the digest of line " + line));
        return digest;
    }
}
