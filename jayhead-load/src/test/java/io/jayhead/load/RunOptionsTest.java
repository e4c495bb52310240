package io.jayhead.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.load.plan.Mix;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RunOptionsTest {

    private static RunOptions parse(String line) {
        return RunOptions.parse(line.split(" "));
    }

    /** Guards against options that are declared but ignored. */
    @Test
    void allOptionsAreRead() {
        RunOptions options = parse("--routers http://a,http://b --mix user2 --rate 2.5 --duration-s 9 --seed 4"
                + " --credentials keys --retry-share 0.5 --platform http://p --operators http://o"
                + " --booking http://x,http://y --json");
        assertEquals(List.of("http://a", "http://b"), options.routers());
        assertEquals(Mix.USER2, options.plan().mix());
        assertEquals(2.5, options.plan().ratePerSecond());
        assertEquals(9, options.plan().durationS());
        assertEquals(4, options.plan().seed());
        assertEquals(2, options.plan().routers());
        assertEquals(0.5, options.plan().retryShare());
        assertEquals("http://p", options.evidence().platformAddress().orElseThrow());
        assertEquals("http://o", options.evidence().operatorsAddress().orElseThrow());
        assertEquals(List.of("http://x", "http://y"), options.evidence().bookingAddresses());
        assertTrue(options.json());
    }

    /** Guards against a run that starts with default values for missing or malformed options. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "--mix user1 --credentials keys",
                "--routers http://a --credentials keys",
                "--routers http://a --mix user1",
                "--routers http://a --mix user1 --credentials keys --rate fast",
                "--routers http://a --mix user1 --credentials keys stray"
            })
    void anIncompleteLineIsRefused(String line) {
        assertThrows(UsageException.class, () -> parse(line));
    }

    /** Guards against values that would give an endless or an empty plan, or none at all. */
    @ParameterizedTest
    @ValueSource(strings = {"--mix user3", "--mix user1 --rate 0", "--mix user1 --retry-share 2"})
    void impossibleValuesAreRefused(String options) {
        assertThrows(IllegalArgumentException.class, () -> parse("--routers http://a --credentials keys " + options));
    }

    /** Guards against requests without an API key because a malformed line of the file was skipped. */
    @Test
    void credentialsAreOneOrganisationALine() {
        assertEquals(Map.of("org-1", "k1", "org-2", "k2"), Credentials.parse("# keys\norg-1 k1\n\norg-2  k2\n"));
        assertThrows(UsageException.class, () -> Credentials.parse("org-1\n"));
    }
}
