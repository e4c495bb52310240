package io.jayhead.scenarios.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.daemon.fleet.FleetDocument;
import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.client.HttpReply;
import io.jayhead.scenarios.client.HttpSender;
import io.jayhead.scenarios.language.Command;
import io.jayhead.scenarios.language.LinkState;
import io.jayhead.scenarios.language.Node;
import io.jayhead.scenarios.language.NodeKind;
import io.jayhead.scenarios.language.ProcessSignal;
import io.jayhead.scenarios.language.Scenario;
import io.jayhead.scenarios.link.Network;
import io.jayhead.scenarios.process.ProcessLauncher;
import io.jayhead.scenarios.process.RunningProcess;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Runs the processes of one scenario. Not thread-safe: only the thread of the scenario uses it. */
final class Deployment implements AutoCloseable {

    static final String OPERATOR_CREDENTIAL = "operator-of-scenarios";
    private static final String STANDINS_MAIN = "io.jayhead.standins.StandinsMain";
    private static final String DAEMON_MAIN = "io.jayhead.daemon.JayheadMain";
    private static final long START_LIMIT_MS = 20_000;

    private final ProcessLauncher launcher;
    private final FreePorts ports;
    private final Network network = new Network();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, RunningProcess> processes = new HashMap<>();
    private final Map<String, RouterAddresses> routerAddresses = new LinkedHashMap<>();
    private final Map<String, String> standinAddresses = new HashMap<>();
    private final Map<String, StandinCounts> savedCounts = new HashMap<>();
    private final Set<String> paused = new TreeSet<>();
    private int startCount;

    Deployment(String scenario, ProcessLauncher launcher) {
        this.launcher = launcher;
        ports = new FreePorts(scenario);
    }

    /** Starts the stand-ins, writes the first fleet text to the platform and starts the routers. */
    void start(Scenario scenario, FleetText fleet) {
        List<Node> routerNodes = nodesOf(scenario, true);
        nodesOf(scenario, false).forEach(this::launch);
        nodesOf(scenario, false).forEach(this::awaitReady);
        FleetDocument document = new FleetDocument(1, "first", render(fleet));
        requireSuccess(HttpSender.send(
                "PUT", platformUrl() + "/v1/objects/fleet/current", Map.of("If-None-Match", "*"), document.encode()));
        routerNodes.forEach(this::launch);
        routerNodes.forEach(this::awaitReady);
    }

    void start(Node node) {
        launch(node);
        awaitReady(node);
    }

    String render(FleetText fleet) {
        return fleet.render(name -> network.relay(name).address());
    }

    String platformUrl() {
        return "http://" + standinAddresses.get(NodeKind.PLATFORM.text());
    }

    String callersUrl(String router) {
        return "http://" + addresses(router).callers();
    }

    String operatorsUrl(String router) {
        return "http://" + addresses(router).operators();
    }

    HttpReply sendAsOperator(String method, String router, String path, String body) {
        return HttpSender.sendWithCallerTimeout(
                method, operatorsUrl(router) + path, Map.of("Authorization", "Bearer " + OPERATOR_CREDENTIAL), body);
    }

    RunningProcess process(String name) {
        RunningProcess process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return process;
    }

    List<String> servingRouters() {
        return routerAddresses.keySet().stream()
                .filter(name -> process(name).isAlive() && !paused.contains(name))
                .toList();
    }

    boolean isNode(String name) {
        return nodes.containsKey(name);
    }

    void send(ProcessSignal signal, String name) {
        if (signal == ProcessSignal.KILL && standinAddresses.containsKey(name)) {
            saveCounts(name);
        }
        process(name).send(signal);
        if (signal == ProcessSignal.KILL) {
            network.relay(name).stopListening();
        } else if (signal == ProcessSignal.PAUSE) {
            paused.add(name);
        } else if (signal == ProcessSignal.RESUME) {
            paused.remove(name);
        }
    }

    void inject(Command.InjectFault fault) {
        if (fault.fault().equals("die")) {
            saveCounts(fault.node());
        }
        String body = "{\"fault\":\"%s\",\"duration_ms\":%d,\"delay_ms\":%d,\"count\":%d,\"path\":\"%s\"}"
                .formatted(fault.fault(), fault.durationMs(), fault.delayMs(), fault.count(), fault.path());
        requireSuccess(
                HttpSender.send("POST", "http://" + standinAddresses.get(fault.node()) + "/faults", Map.of(), body));
    }

    void setLink(LinkState state, String first, String second) {
        if (!second.equals("peers")) {
            network.setLinkState(state, first, second);
            return;
        }
        routerAddresses.keySet().stream()
                .filter(name -> !name.equals(first))
                .forEach(name -> network.setLinkState(state, first, name));
    }

    HttpReply setVm(String name, String state) {
        String url = platformUrl() + "/v1/vms/" + name;
        if (state.equals("gone")) {
            return HttpSender.send("DELETE", url, Map.of(), "");
        }
        String body = "{\"availability_zone\":\"%s\",\"state\":\"%s\"}"
                .formatted(nodes.get(name).availabilityZone(), state);
        return HttpSender.send("PUT", url, Map.of(), body);
    }

    /** Returns the counts of a stand-in, summed over all processes that ran under its name. */
    StandinCounts counts(String name) {
        StandinCounts saved = savedCounts.getOrDefault(name, StandinCounts.NONE);
        return process(name).isAlive() ? saved.plus(currentCounts(name)) : saved;
    }

    /** Returns the summed counts of all stand-ins of a kind. */
    StandinCounts counts(NodeKind kind) {
        return nodes.values().stream()
                .filter(node -> node.kind() == kind)
                .map(node -> counts(node.name()))
                .reduce(StandinCounts.NONE, StandinCounts::plus);
    }

    /** Returns the sum of prompt and output tokens of each run at the live engines, by {@code REQUEST_ID@ENGINE}. */
    Map<String, Long> producedTokens() {
        Map<String, Long> tokens = new HashMap<>();
        nodes.values().stream()
                .filter(node ->
                        node.kind() == NodeKind.ENGINE && process(node.name()).isAlive())
                .forEach(node -> currentCounts(node.name())
                        .executions()
                        .keySet()
                        .forEach(id -> {
                            String url = "http://" + standinAddresses.get(node.name()) + "/v1/requests/" + id;
                            JsonNode run =
                                    HttpSender.send("GET", url, Map.of(), "").json();
                            long sum = run.path("prompt_tokens").asLong()
                                    + run.path("output_tokens").asLong();
                            tokens.put(id + "@" + node.name(), sum);
                        }));
        return tokens;
    }

    @Override
    public void close() {
        processes.values().forEach(process -> process.send(ProcessSignal.KILL));
        network.close();
    }

    private static List<Node> nodesOf(Scenario scenario, boolean onlyRouters) {
        return scenario.nodes().stream()
                .filter(node -> (node.kind() == NodeKind.ROUTER) == onlyRouters)
                .toList();
    }

    private void launch(Node node) {
        nodes.put(node.name(), node);
        startCount++;
        String outputName = processes.containsKey(node.name()) ? node.name() + "-" + startCount : node.name();
        boolean isRouter = node.kind() == NodeKind.ROUTER;
        RunningProcess process = isRouter
                ? launcher.start(outputName, DAEMON_MAIN, List.of("--settings", settings(node, outputName)))
                : launcher.start(outputName, STANDINS_MAIN, standinArguments(node));
        processes.put(node.name(), process);
        network.register(node.name(), process.pid());
    }

    private void awaitReady(Node node) {
        String readyUrl = process(node.name()).awaitLine("ready ", START_LIMIT_MS);
        if (node.kind() == NodeKind.ROUTER) {
            network.relay(node.name()).forwardTo(addresses(node.name()).peers());
            return;
        }
        String address = readyUrl.replaceFirst("^http://", "");
        standinAddresses.put(node.name(), address);
        network.relay(node.name()).forwardTo(address);
    }

    private String settings(Node node, String outputName) {
        RouterAddresses addresses = RouterAddresses.of(ports);
        routerAddresses.put(node.name(), addresses);
        // The VM list shows the entry after a lag. During a platform outage no entry is made, as for a real VM.
        setVm(node.name(), "live");
        List<String> seeds = routerAddresses.keySet().stream()
                .filter(name -> !name.equals(node.name()))
                .map(name -> network.relay(name).address())
                .toList();
        String text = RouterSettings.render(
                node,
                addresses,
                seeds,
                network.relay(node.name()).address(),
                network.relay(NodeKind.PLATFORM.text()).address(),
                RequestKey.sha256(OPERATOR_CREDENTIAL));
        return launcher.write(outputName + ".yaml", text).toString();
    }

    private static List<String> standinArguments(Node node) {
        List<String> arguments = new ArrayList<>(List.of(node.kind().text()));
        if (node.kind() != NodeKind.PLATFORM) {
            arguments.addAll(List.of("--name", node.name()));
        }
        if (node.kind() == NodeKind.ENGINE) {
            arguments.addAll(List.of("--zone", node.availabilityZone(), "--models", FleetText.MODEL));
        }
        List<String> options = node.options();
        for (int i = 0; i < options.size(); i++) {
            if (options.get(i).equals("fencing")) {
                arguments.add("--check-fencing");
            } else {
                arguments.addAll(List.of("--" + options.get(i), options.get(++i)));
            }
        }
        return arguments;
    }

    private void saveCounts(String name) {
        savedCounts.put(name, counts(name));
    }

    private StandinCounts currentCounts(String name) {
        String address = "http://" + standinAddresses.get(name);
        if (nodes.get(name).kind() == NodeKind.PLATFORM) {
            return StandinCounts.NONE;
        }
        Map<String, Long> executions = new HashMap<>();
        JsonNode response =
                HttpSender.send("GET", address + "/executions", Map.of(), "").json();
        response.path("executions")
                .properties()
                .forEach(
                        entry -> executions.put(entry.getKey(), entry.getValue().asLong()));
        JsonNode totals =
                HttpSender.send("GET", address + "/v1/totals", Map.of(), "").json();
        return new StandinCounts(executions, totals.path("runs").asLong());
    }

    private RouterAddresses addresses(String router) {
        RouterAddresses addresses = routerAddresses.get(router);
        if (addresses == null) {
            throw new IllegalArgumentException("no router " + router);
        }
        return addresses;
    }

    private static void requireSuccess(HttpReply reply) {
        if (!reply.isSuccess()) {
            throw new IllegalStateException("refused: " + reply);
        }
    }
}
