package io.jayhead.config.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.config.TestTexts;
import io.jayhead.config.fleet.ConfigProblem;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against a router that starts with settings other than those its operator wrote: a wrong default, a misread or
 * ignored value, or an invalid text that is not reported as a problem.
 */
class SettingsParserTest {

    // Guards against a default that differs from the documented one.
    @Test
    void fillsInTheDefaults() {
        DaemonSettings settings =
                SettingsParser.parse(TestTexts.read("settings/valid.yaml")).get();
        assertEquals(8001, settings.callersAddress().getPort());
        assertEquals(8, settings.chargePartitions());
        assertEquals(2000, settings.freshnessLimitMs());
        assertEquals(2000, settings.grantInitialTokens());
        assertEquals(300_000, settings.shutdownLimitMs());
        assertEquals(500, settings.peerHeartbeatMs());
        assertEquals(500, settings.upstreamPollMs());
        assertEquals(3000, settings.upstreamFreshnessMs());
        assertEquals(10, settings.chargeLingerMs());
        assertEquals(15_000, settings.firstByteTimeoutMs());
        assertEquals(5000, settings.betweenTokensTimeoutMs());
        assertEquals(256, settings.queueLimit());
        assertEquals(LogLevel.INFO, settings.logLevel());
    }

    // Guards against a daemon that starts although it ignores or misreads some of its settings.
    @Test
    void reportsAllProblemsOfAPage() {
        Approvals.verify(SettingsParser.parse(TestTexts.read("settings/problems.yaml")).getLeft().stream()
                .map(ConfigProblem::toString)
                .collect(Collectors.joining("\n")));
    }

    // Guards against a daemon whose start ends in a stack trace instead of a message about the invalid text.
    @Property(tries = 500)
    void neverThrowsOnArbitraryText(@ForAll String text) {
        assertTrue(SettingsParser.parse(text) != null);
    }
}
