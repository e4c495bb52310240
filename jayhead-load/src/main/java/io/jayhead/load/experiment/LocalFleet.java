package io.jayhead.load.experiment;

import io.jayhead.load.plan.Mix;
import io.jayhead.model.RequestKey;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Starts and stops the processes of the fleet of one user and the links between them. */
final class LocalFleet implements AutoCloseable {

    static final String OPERATOR_CREDENTIAL = "operator-of-experiments";

    private static final String STANDINS_MAIN = "io.jayhead.standins.StandinsMain";
    private static final String ROUTER_MAIN = "io.jayhead.daemon.JayheadMain";
    private static final String LOOPBACK = "127.0.0.1:";

    /** Time between tokens of engines: half of the default, so that the longest answer ends within the drain time. */
    private static final int TOKEN_MS = 10;

    private final ExperimentSettings settings;
    private final ProcessGroup processes;
    private final Gate partitionGate = new Gate();
    private final List<Link> links = new ArrayList<>();
    private final List<ChildProcess> routers = new ArrayList<>();
    private final int platformPort;
    private final List<Integer> enginePorts;
    private final List<Integer> bookingPorts;
    private final List<Integer> callerPorts;
    private final List<Integer> operatorPorts;
    private final List<Integer> peerPorts;

    LocalFleet(ExperimentSettings settings) {
        this.settings = settings;
        this.processes = new ProcessGroup(settings.directory());
        Mix mix = settings.mix();
        List<Integer> ports = Ports.free(1 + mix.engines() + Mix.BOOKING_SERVICES + 3 * mix.routers());
        int firstBookingIndex = 1 + mix.engines();
        int firstRouterIndex = firstBookingIndex + Mix.BOOKING_SERVICES;
        platformPort = ports.get(0);
        enginePorts = ports.subList(1, firstBookingIndex);
        bookingPorts = ports.subList(firstBookingIndex, firstRouterIndex);
        callerPorts = ports.subList(firstRouterIndex, firstRouterIndex + mix.routers());
        operatorPorts = ports.subList(firstRouterIndex + mix.routers(), firstRouterIndex + 2 * mix.routers());
        peerPorts = ports.subList(firstRouterIndex + 2 * mix.routers(), ports.size());
    }

    /** Starts the stand-ins, then the routers, and waits until all of them accept requests. */
    void start() throws InterruptedException {
        startStandin("platform", platformPort);
        for (int index = 0; index < enginePorts.size(); index++) {
            startStandin(
                    "engine",
                    enginePorts.get(index),
                    "--name=engine-" + (index + 1),
                    "--zone=" + FleetText.zone(index),
                    "--models=large,small",
                    "--token-ms=" + TOKEN_MS,
                    "--check-fencing");
        }
        for (int index = 0; index < bookingPorts.size(); index++) {
            startStandin("booking", bookingPorts.get(index), "--name=booking-" + (index + 1));
        }
        processes.awaitReady();
        List<Integer> platformPorts = platformPorts();
        for (int index = 0; index < callerPorts.size(); index++) {
            startRouter(index, platformPorts.get(index));
        }
        processes.awaitReady();
    }

    private void startStandin(String kind, int port, String... options) {
        List<String> arguments = new ArrayList<>(List.of(kind, "--port=" + port));
        arguments.addAll(List.of(options));
        processes.start(kind + "-" + port, System.getProperty("java.class.path"), STANDINS_MAIN, arguments);
    }

    private void startRouter(int index, int routerPlatformPort) {
        String name = "vm-" + (index + 1);
        Path file = settings.directory().resolve(name + ".yaml");
        try {
            Files.writeString(file, routerSettings(index, name, routerPlatformPort));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the settings of " + name, e);
        }
        List<String> arguments = List.of("--settings", file.toString());
        routers.add(processes.start(name, settings.daemonClassPath(), ROUTER_MAIN, arguments));
    }

    private String routerSettings(int index, String name, int routerPlatformPort) {
        return String.join(
                "\n",
                "vm: " + name,
                "availability_zone: " + FleetText.zone(index),
                "region: " + (settings.mix() == Mix.USER1 ? "ga-east" : "ch-mittelland"),
                "callers_address: " + LOOPBACK + callerPorts.get(index),
                "operators_address: " + LOOPBACK + operatorPorts.get(index),
                "peers_address: " + LOOPBACK + peerPorts.get(index),
                "platform_address: http://" + LOOPBACK + routerPlatformPort,
                "operator_credential_sha256: " + RequestKey.sha256(OPERATOR_CREDENTIAL),
                "");
    }

    /**
     * Returns the platform port of each router.
     *
     * <p>In an experiment with a partition, each router reaches the platform through a link, which replaces peer
     * addresses in the answers of the platform: the first router gets addresses of links that can be cut instead of
     * those of its peers, and all others get the address of such a link instead of that of the first router.
     */
    private List<Integer> platformPorts() {
        if (settings.fault() != Fault.PARTITION) {
            return callerPorts.stream().map(port -> platformPort).toList();
        }
        Map<String, String> replacementsForFirst = new HashMap<>();
        for (int port : peerPorts.subList(1, peerPorts.size())) {
            replacementsForFirst.put(
                    LOOPBACK + port, LOOPBACK + openLink(port, partitionGate).port());
        }
        int firstPeerPort = peerPorts.get(0);
        Map<String, String> replacementsForOthers = Map.of(
                LOOPBACK + firstPeerPort,
                LOOPBACK + openLink(firstPeerPort, partitionGate).port());
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < callerPorts.size(); index++) {
            Link link = openLink(platformPort, index == 0 ? partitionGate : new Gate());
            link.setReplacements(index == 0 ? replacementsForFirst : replacementsForOthers);
            ports.add(link.port());
        }
        return ports;
    }

    private Link openLink(int port, Gate linkGate) {
        Link link = Link.to(port, linkGate);
        links.add(link);
        return link;
    }

    String fleetText() {
        return new FleetText(settings.mix()).write(enginePorts, bookingPorts);
    }

    String platformUrl() {
        return url(platformPort);
    }

    List<String> engineUrls() {
        return enginePorts.stream().map(LocalFleet::url).toList();
    }

    List<String> bookingUrls() {
        return bookingPorts.stream().map(LocalFleet::url).toList();
    }

    List<String> callersUrls() {
        return callerPorts.stream().map(LocalFleet::url).toList();
    }

    List<String> operatorsUrls() {
        return operatorPorts.stream().map(LocalFleet::url).toList();
    }

    ChildProcess firstRouter() {
        return routers.get(0);
    }

    Gate partitionGate() {
        return partitionGate;
    }

    private static String url(int port) {
        return "http://" + LOOPBACK + port;
    }

    @Override
    public void close() {
        processes.close();
        for (Link link : links) {
            try {
                link.close();
            } catch (IOException e) {
                throw new UncheckedIOException("cannot close a link", e);
            }
        }
    }
}
