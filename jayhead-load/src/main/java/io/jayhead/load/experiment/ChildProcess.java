package io.jayhead.load.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Controls one Java process, whose output goes to a log file. */
final class ChildProcess {

    /** A small initial heap: the default takes the whole limit at once, which adds up over two dozen processes. */
    private static final List<String> JVM_OPTIONS =
            List.of("-Xms16m", "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private static final String READY_PREFIX = "ready ";
    private static final long POLL_MS = 50;

    private final String name;
    private final Process process;
    private final Path log;

    private ChildProcess(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    static ChildProcess start(String name, Path directory, String classPath, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", classPath, mainClass));
        command.addAll(arguments);
        Path log = directory.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            return new ChildProcess(name, process, log);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /** Waits for the line that the process prints when it accepts requests. */
    void awaitReady(long deadlineNs) throws InterruptedException {
        while (!isReady()) {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " exited with " + process.exitValue() + "; see " + log);
            }
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException(name + " did not become ready in time; see " + log);
            }
            Thread.sleep(POLL_MS);
        }
    }

    private boolean isReady() {
        try {
            return Files.readString(log).lines().anyMatch(line -> line.startsWith(READY_PREFIX));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the log of " + name, e);
        }
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Sends a signal with {@code kill}, because the Java API can only terminate processes. */
    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor(1, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot signal " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }
}
