package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid command lines that are accepted or rejected without naming the wrong argument. */
class CommandLineTest {

    /** Guards against misspelt or invalid options that start a stand-in with unintended settings. */
    @ParameterizedTest
    @CsvSource({
        "plattform,            unknown subcommand: plattform",
        "engine --portx 1,     portx is not a recognized option",
        "engine --port 1x,     Cannot parse argument '1x' of option port",
        "engine --port 70000,  port must be from 0 to 65535: 70000",
        "engine --token-ms -1, token-ms must not be negative: -1",
        "engine --max-batch 0, max-batch and max-records must be at least 1",
        "booking extra,        unexpected argument: extra",
    })
    void aWrongOptionIsNamed(String line, String message) {
        UsageException thrown =
                assertThrows(UsageException.class, () -> StandinsMain.start(status -> {}, line.split(" ")));

        assertEquals(message, thrown.getMessage());
    }
}
