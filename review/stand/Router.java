import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the router program as its own process, with the command of the deploy file. */
final class Router {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final int frontPort;
    final int readyPort;
    final Path log;
    private final Path settings;
    private Process process;

    Router(String name, String zone, int storePort, Path folder) throws IOException {
        this.name = name;
        this.frontPort = freePort();
        this.readyPort = freePort();
        int peerPort = freePort();
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, settings(zone, storePort, peerPort));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        start();
    }

    /** Starts the process, also after it was killed. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("JAYHEAD_CONFIG", settings.toAbsolutePath().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    private String settings(String zone, int storePort, int peerPort) {
        return String.join(
                "\n",
                "NodeName: \"" + name + "\"",
                "Role: \"router\"",
                "MachineClass: \"front\"",
                "Serves: [\"front\"]",
                "Ip: \"127.0.0.1\"",
                "Zone: \"" + zone + "\"",
                "Region: \"ch-mittelland\"",
                "Listen:",
                "  Front: \"127.0.0.1:" + frontPort + "\"",
                "  Ready: \"127.0.0.1:" + readyPort + "\"",
                "PortRange: [" + peerPort + ", " + peerPort + "]",
                "Seeds: []",
                "Bootstrap: true",
                "Limits: {CpuShare: 0.75, Cores: 1, MemoryMb: 430, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}",
                "Discovery: \"platform\"",
                "Entry: \"vip\"",
                "HeartbeatMs: " + Fleet.HEARTBEAT_MS,
                "Bounds: {StableMs: 3000, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000,"
                        + " RollbackSlackMs: 250, OuterMs: 5000, RevokeStrict: false, RevokeMs: 5000}",
                "Platform: {Address: \"127.0.0.1:" + storePort + "\", form: \"objects\", WritesPerS: 400,"
                        + " ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576}",
                "");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    boolean isReady() {
        try {
            return Client.get(readyPort, "/jayhead/readyz").status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void end() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Returns the last lines of its output that contain a text. */
    List<String> logLines(String text, int most) throws IOException {
        List<String> lines = Files.readAllLines(log).stream()
                .filter(line -> line.contains(text))
                .toList();
        return lines.subList(Math.max(0, lines.size() - most), lines.size());
    }
}
