package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.IdempotencyKeySource;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads the services of a fleet text. */
final class ServiceReader {

    private static final Set<String> KEYS = Set.of(
            "name",
            "kind",
            "upstreams",
            "depends_on",
            "max_output_tokens",
            "path",
            "idempotency_key",
            "price_tokens",
            "status_service");
    private static final String KIND_RULE = Stream.of(RequestKind.values())
            .map(RequestKind::configName)
            .collect(Collectors.joining(", ", "one of ", ""));
    private static final String UPSTREAMS_RULE = "a list of at least one upstream";
    private static final String UPSTREAM_RULE = "the name of an upstream of this fleet";
    private static final String STATUS_RULE = "the name of a status_read service of this fleet";
    private static final String PATH_RULE = "a path that starts with / and has no query and no .. segment";
    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,199}");
    private static final long MAX_OUTPUT_TOKENS = 1_000_000;
    private static final long MAX_PRICE_TOKENS = 1_000_000_000;

    private final FleetNames names;
    private final ConfigProblems problems;
    private final DependencyReader dependencyReader;
    private final Set<String> statusReadServices;

    ServiceReader(FleetNames names, ConfigProblems problems) {
        this.names = names;
        this.problems = problems;
        this.dependencyReader = new DependencyReader(names);
        this.statusReadServices = names.servicesOf(RequestKind.STATUS_READ);
    }

    Optional<ServiceSpec> read(NamedSection entry) {
        int countBefore = problems.count();
        YamlSection section = entry.section();
        section.allowOnly(KEYS);
        Optional<RequestKind> kind =
                section.required("kind", KIND_RULE).flatMap(value -> value.text(KIND_RULE, RequestKind::parse));
        List<String> upstreams = upstreams(section, kind);
        List<Dependency> dependencies = dependencyReader.read(section);
        kind.ifPresent(value -> requireModel(value, section));
        Optional<Long> maxOutputTokens = maxOutputTokens(section, kind);
        Optional<String> path = path(section, kind);
        Optional<IdempotencyKeySource> idempotencyKeySource = idempotencyKeySource(section, kind);
        Optional<Long> priceTokens =
                section.optional("price_tokens").flatMap(value -> value.wholeNumber(0, MAX_PRICE_TOKENS));
        Optional<String> statusService = statusService(section, kind);
        if (entry.name().isEmpty()) {
            return Optional.empty();
        }
        return problems.unlessReportedSince(
                countBefore,
                () -> new ServiceSpec(
                        ServiceName.of(entry.name().get()),
                        kind.orElseThrow(),
                        upstreams.stream().map(UpstreamName::of).toList(),
                        dependencies,
                        maxOutputTokens.orElse(0L).intValue(),
                        path.orElse(""),
                        idempotencyKeySource.orElse(IdempotencyKeySource.None.INSTANCE),
                        priceTokens.orElse(0L),
                        statusService.map(ServiceName::of)));
    }

    private List<String> upstreams(YamlSection section, Optional<RequestKind> kind) {
        Optional<YamlValue> upstreamList = section.required("upstreams", UPSTREAMS_RULE);
        List<YamlValue> values = upstreamList.map(YamlValue::items).orElse(List.of());
        if (values.isEmpty() && upstreamList.filter(YamlValue::isList).isPresent()) {
            upstreamList.get().reject(UPSTREAMS_RULE, "an empty list");
        }
        List<String> upstreams = References.readAll(values, names.upstreams().keySet(), UPSTREAM_RULE);
        kind.ifPresent(value -> values.forEach(upstream -> requireType(value, upstream)));
        return upstreams;
    }

    private void requireType(RequestKind kind, YamlValue upstream) {
        UpstreamType expected = kind.isGeneration() ? UpstreamType.MODEL_ENGINE : UpstreamType.PLAIN_SERVICE;
        upstream.peek()
                .flatMap(name -> names.upstreams().getOrDefault(name, Optional.empty()))
                .filter(type -> type != expected)
                .ifPresent(type -> upstream.reject(
                        "an upstream of type " + FleetNames.configName(expected) + " for " + kind.configName(),
                        "type " + FleetNames.configName(type)));
    }

    private static void requireModel(RequestKind kind, YamlSection section) {
        if (kind.isGeneration() && !DependencyReader.mentionsModel(section)) {
            section.reject("a model/NAME in depends_on of a generation", "none");
        }
    }

    private static Optional<Long> maxOutputTokens(YamlSection section, Optional<RequestKind> kind) {
        String key = "max_output_tokens";
        if (kind.filter(value -> !value.isGeneration()).isPresent()) {
            section.forbid(key, "no output cap on a plain service");
            return Optional.empty();
        }
        String rule = "a whole number from 1 to " + MAX_OUTPUT_TOKENS;
        Optional<YamlValue> value = kind.isPresent() ? section.required(key, rule) : section.optional(key);
        return value.flatMap(number -> number.wholeNumber(1, MAX_OUTPUT_TOKENS));
    }

    private static Optional<String> path(YamlSection section, Optional<RequestKind> kind) {
        if (kind.filter(RequestKind::isGeneration).isPresent()) {
            section.forbid("path", "no path on a generation");
            section.forbid("price_tokens", "no price on a generation, which is charged by its tokens");
            return Optional.empty();
        }
        Optional<YamlValue> value = kind.isPresent() ? section.required("path", PATH_RULE) : section.optional("path");
        return value.flatMap(path -> path.text(
                PATH_RULE,
                text -> Optional.of(text)
                        .filter(candidate -> PATH.matcher(candidate).matches())
                        .filter(candidate -> !candidate.contains(".."))));
    }

    private static Optional<IdempotencyKeySource> idempotencyKeySource(
            YamlSection section, Optional<RequestKind> kind) {
        String key = "idempotency_key";
        boolean isBooking = kind.filter(value -> value == RequestKind.BOOKING).isPresent();
        Optional<YamlValue> value = isBooking
                ? section.required(key, IdempotencyKeySourceReader.RULE + " on a booking")
                : section.optional(key);
        return value.flatMap(IdempotencyKeySourceReader::read);
    }

    private Optional<String> statusService(YamlSection section, Optional<RequestKind> kind) {
        if (kind.filter(value -> value != RequestKind.BOOKING).isPresent()) {
            section.forbid("status_service", "no status service except on a booking");
            return Optional.empty();
        }
        return section.optional("status_service")
                .flatMap(value -> References.read(value, statusReadServices, STATUS_RULE));
    }
}
