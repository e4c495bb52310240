package io.jayhead.config.settings;

import io.jayhead.config.fleet.ConfigProblems;
import io.jayhead.config.yaml.Formats;
import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads and validates the settings in the root section of a settings text. */
final class SettingsReader {

    private static final String CALLERS = "callers_address";
    private static final String OPERATORS = "operators_address";
    private static final String PEERS = "peers_address";
    private static final String ADVERTISED_PEERS = "advertised_peers_address";
    private static final String SEED_PEERS = "seed_peers";
    private static final Set<String> REQUIRED_KEYS = Set.of(
            "vm",
            "availability_zone",
            "region",
            CALLERS,
            OPERATORS,
            PEERS,
            "platform_address",
            "operator_credential_sha256");
    private static final String LEVEL_RULE =
            Stream.of(LogLevel.values()).map(LogLevel::configName).collect(Collectors.joining(", ", "one of ", ""));

    private final YamlSection root;
    private final ConfigProblems problems;

    SettingsReader(YamlSection root, ConfigProblems problems) {
        this.root = root;
        this.problems = problems;
    }

    Optional<DaemonSettings> read() {
        root.allowOnly(allowedKeys());
        Optional<String> vm = name("vm");
        Optional<String> availabilityZone = name("availability_zone");
        Optional<String> region = name("region");
        Optional<InetSocketAddress> callersAddress = endpoint(CALLERS);
        Optional<InetSocketAddress> operatorsAddress = endpoint(OPERATORS);
        Optional<InetSocketAddress> peersAddress = endpoint(PEERS);
        requireDistinctAddresses();
        requireReachable(PEERS, peersAddress);
        Optional<InetSocketAddress> advertisedPeersAddress =
                root.optional(ADVERTISED_PEERS).flatMap(value -> value.text(Formats.ENDPOINT_RULE, Formats::endpoint));
        requireReachable(ADVERTISED_PEERS, advertisedPeersAddress);
        List<InetSocketAddress> seedPeers = root.items(SEED_PEERS).stream()
                .flatMap(value -> value.text(Formats.ENDPOINT_RULE, Formats::endpoint).stream())
                .toList();
        Optional<String> platformAddress = root.required("platform_address", Formats.URL_RULE)
                .flatMap(value -> value.text(Formats.URL_RULE, Formats::httpUrl));
        Optional<String> credentialDigest = root.required("operator_credential_sha256", Formats.DIGEST_RULE)
                .flatMap(value -> value.digest(Formats.DIGEST_RULE, Formats.DIGEST));
        Map<NumberSetting, Long> numbers = numbers();
        LogLevel logLevel = root.optional("log_level")
                .flatMap(value -> value.text(LEVEL_RULE, LogLevel::parse))
                .orElse(LogLevel.INFO);
        return problems.unlessReportedSince(
                0,
                () -> new DaemonSettings(
                        VmName.of(vm.orElseThrow()),
                        AvailabilityZone.of(availabilityZone.orElseThrow()),
                        region.orElseThrow(),
                        callersAddress.orElseThrow(),
                        operatorsAddress.orElseThrow(),
                        peersAddress.orElseThrow(),
                        advertisedPeersAddress.or(() -> peersAddress).orElseThrow(),
                        seedPeers,
                        platformAddress.orElseThrow(),
                        credentialDigest.orElseThrow(),
                        numbers.get(NumberSetting.CHARGE_PARTITIONS).intValue(),
                        numbers.get(NumberSetting.FRESHNESS_LIMIT_MS),
                        numbers.get(NumberSetting.GRANT_INITIAL_TOKENS),
                        numbers.get(NumberSetting.RECLAIM_AFTER_MS),
                        numbers.get(NumberSetting.SHUTDOWN_LIMIT_MS),
                        numbers.get(NumberSetting.PEER_HEARTBEAT_MS),
                        numbers.get(NumberSetting.UPSTREAM_POLL_MS),
                        numbers.get(NumberSetting.UPSTREAM_FRESHNESS_MS),
                        numbers.get(NumberSetting.CHARGE_LINGER_MS),
                        numbers.get(NumberSetting.FIRST_BYTE_TIMEOUT_MS),
                        numbers.get(NumberSetting.BETWEEN_TOKENS_TIMEOUT_MS),
                        numbers.get(NumberSetting.QUEUE_LIMIT).intValue(),
                        logLevel));
    }

    private static Set<String> allowedKeys() {
        Stream<String> numbers = Stream.of(NumberSetting.values()).map(NumberSetting::key);
        return Stream.of(REQUIRED_KEYS.stream(), numbers, Stream.of("log_level", ADVERTISED_PEERS, SEED_PEERS))
                .flatMap(keys -> keys)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Optional<String> name(String key) {
        return root.required(key, Formats.NAME_RULE).flatMap(value -> value.text(Formats.NAME_RULE, Formats::name));
    }

    private Optional<InetSocketAddress> endpoint(String key) {
        return root.required(key, Formats.ENDPOINT_RULE)
                .flatMap(value -> value.text(Formats.ENDPOINT_RULE, Formats::endpoint));
    }

    private void requireDistinctAddresses() {
        Map<String, String> keysByAddress = new HashMap<>();
        for (String key : List.of(CALLERS, OPERATORS, PEERS)) {
            Optional<YamlValue> value = root.optional(key);
            Optional<String> earlierKey =
                    value.flatMap(YamlValue::peek).map(text -> keysByAddress.putIfAbsent(text, key));
            earlierKey.ifPresent(otherKey -> value.get().reject("an address of its own", "the address of " + otherKey));
        }
    }

    /** Rejects a wildcard address, because peers connect to the address that the router registers. */
    private void requireReachable(String key, Optional<InetSocketAddress> endpoint) {
        if (endpoint.filter(address -> address.getAddress().isAnyLocalAddress()).isPresent()) {
            root.optional(key).orElseThrow().reject("an address that peers can connect to");
        }
    }

    private Map<NumberSetting, Long> numbers() {
        Map<NumberSetting, Long> numbers = new EnumMap<>(NumberSetting.class);
        Stream.of(NumberSetting.values()).forEach(setting -> numbers.put(setting, setting.read(root)));
        requireLess(numbers, NumberSetting.PEER_HEARTBEAT_MS, NumberSetting.FRESHNESS_LIMIT_MS);
        requireLess(numbers, NumberSetting.UPSTREAM_POLL_MS, NumberSetting.UPSTREAM_FRESHNESS_MS);
        return numbers;
    }

    /** Requires a period to be shorter than its limit, because otherwise the limit would pass between two reports. */
    private void requireLess(Map<NumberSetting, Long> numbers, NumberSetting period, NumberSetting limit) {
        if (numbers.get(period) < numbers.get(limit)) {
            return;
        }
        root.optional(period.key())
                .or(() -> root.optional(limit.key()))
                .ifPresent(value -> value.reject(period.key() + " less than " + limit.key()));
    }
}
