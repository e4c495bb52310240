package io.jayhead.config.settings;

import io.jayhead.config.yaml.YamlSection;
import java.util.Locale;

/** Lists the numeric settings, which are all optional, with their defaults and ranges. */
enum NumberSetting {
    CHARGE_PARTITIONS(8, 1, 1024),
    /** An accepted configuration takes effect within 3 s, so a router must not use an unconfirmed one for longer. */
    FRESHNESS_LIMIT_MS(2000, 100, 3000),
    GRANT_INITIAL_TOKENS(2000, 1, 1_000_000_000),
    RECLAIM_AFTER_MS(60_000, 100, 86_400_000),
    SHUTDOWN_LIMIT_MS(300_000, 0, 3_600_000),
    PEER_HEARTBEAT_MS(500, 10, 10_000),
    UPSTREAM_POLL_MS(500, 10, 10_000),
    UPSTREAM_FRESHNESS_MS(3000, 100, 60_000),
    CHARGE_LINGER_MS(10, 0, 1000),
    FIRST_BYTE_TIMEOUT_MS(15_000, 100, 600_000),
    BETWEEN_TOKENS_TIMEOUT_MS(5000, 100, 600_000),
    QUEUE_LIMIT(256, 1, 1_000_000);

    private final long defaultValue;
    private final long min;
    private final long max;

    NumberSetting(long defaultValue, long min, long max) {
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
    }

    String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    long read(YamlSection section) {
        return section.optional(key())
                .flatMap(value -> value.wholeNumber(min, max))
                .orElse(defaultValue);
    }
}
