package io.jayhead.scenarios;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.scenarios.client.HttpSender;
import io.jayhead.scenarios.language.LinkState;
import io.jayhead.scenarios.language.ProcessSignal;
import io.jayhead.scenarios.link.Network;
import io.jayhead.scenarios.process.ProcessLauncher;
import io.jayhead.scenarios.process.RunningProcess;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against signals, kills and link states that have no effect or affect other processes. Scenarios would then
 * pass without the failure that they are about.
 */
class ProcessControlTest {

    private static final long READY_LIMIT_MS = 20_000;

    private final Network network = new Network();
    private RunningProcess engine;
    private String directAddress;

    @BeforeEach
    void startEngine() {
        ProcessLauncher launcher = new ProcessLauncher(Path.of("target", "scenarios", "process-control"));
        engine = launcher.start("engine", "io.jayhead.standins.StandinsMain", List.of("engine"));
        directAddress = engine.awaitLine("ready ", READY_LIMIT_MS);
        network.register("client", ProcessHandle.current().pid());
        network.register("engine", engine.pid());
        network.relay("engine").forwardTo(directAddress);
    }

    @AfterEach
    void stopEngine() {
        network.close();
        engine.send(ProcessSignal.KILL);
    }

    @Test
    void aPausedProcessAnswersOnlyAfterItIsResumed() {
        engine.send(ProcessSignal.PAUSE);
        assertFalse(answers(directAddress));
        engine.send(ProcessSignal.RESUME);
        assertTrue(answers(directAddress));
        engine.send(ProcessSignal.KILL);
        assertFalse(engine.isAlive());
    }

    @Test
    void aLinkFailsOnlyBetweenItsTwoProcesses() {
        String relayed = network.relay("engine").address();
        for (LinkState state : List.of(LinkState.CUT, LinkState.SILENCE)) {
            network.setLinkState(state, "client", "engine");
            assertFalse(answers(relayed), state.name());
            network.setLinkState(LinkState.HEAL, "client", "engine");
            assertTrue(answers(relayed), state.name());
        }
        network.register("other", 1);
        network.setLinkState(LinkState.CUT, "other", "engine");
        assertTrue(answers(relayed));
    }

    @Test
    void aDeadProcessRefusesConnections() {
        engine.send(ProcessSignal.KILL);
        network.relay("engine").stopListening();
        String fault = get(network.relay("engine").address());
        assertTrue(fault.contains("ConnectException"), fault);
    }

    private static boolean answers(String address) {
        return !get(address).contains("Exception");
    }

    private static String get(String address) {
        return HttpSender.send("GET", "http://" + address.replaceFirst("^http://", "") + "/v1/totals", Map.of(), "")
                .body();
    }
}
