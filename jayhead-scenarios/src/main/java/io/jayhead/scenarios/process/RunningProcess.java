package io.jayhead.scenarios.process;

import io.jayhead.scenarios.language.ProcessSignal;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** Controls a process that {@link ProcessLauncher} started. */
public final class RunningProcess {

    private static final long POLL_MS = 10;
    private static final int ERROR_TAIL_CHARACTERS = 2000;

    private final String name;
    private final Process process;
    private final Path output;
    private final Path errors;

    RunningProcess(String name, Process process, Path output, Path errors) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.errors = errors;
    }

    /** Returns the id of the process. */
    public long pid() {
        return process.pid();
    }

    /** Tells whether the process has not ended. A suspended process is alive. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Waits until the standard output has a line with a prefix.
     *
     * @param prefix the start of the line
     * @param limitMs the time limit in milliseconds
     * @return the rest of the line after the prefix, stripped
     * @throws IllegalStateException if the process ends without the line or the limit passes
     */
    public String awaitLine(String prefix, long limitMs) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (System.nanoTime() < deadlineNanos) {
            boolean alive = process.isAlive();
            Optional<String> line =
                    read(output).lines().filter(text -> text.startsWith(prefix)).findFirst();
            if (line.isPresent()) {
                return line.get().substring(prefix.length()).strip();
            }
            if (!alive) {
                throw new IllegalStateException(name + " ended with " + process.exitValue() + ": " + errorTail());
            }
            sleepPollInterval();
        }
        throw new IllegalStateException(name + " did not print '" + prefix + "': " + errorTail());
    }

    /**
     * Waits until the process ends.
     *
     * @param limitMs the time limit in milliseconds
     * @return the exit status, or empty if the process is still alive
     */
    public OptionalInt awaitExit(long limitMs) {
        try {
            boolean ended = process.waitFor(limitMs, TimeUnit.MILLISECONDS);
            return ended ? OptionalInt.of(process.exitValue()) : OptionalInt.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OptionalInt.empty();
        }
    }

    /**
     * Sends a signal. {@link ProcessSignal#KILL} also waits up to 5 s for the end of the process.
     *
     * @param signal the signal
     */
    public void send(ProcessSignal signal) {
        switch (signal) {
            case KILL -> {
                process.destroyForcibly();
                awaitExit(TimeUnit.SECONDS.toMillis(5));
            }
            case STOP -> process.destroy();
            case PAUSE -> sendSignal("-STOP");
            case RESUME -> sendSignal("-CONT");
            case RELOAD -> sendSignal("-HUP");
            default -> throw new IllegalArgumentException("unknown signal: " + signal);
        }
    }

    /**
     * Returns the end of the standard error output, for error messages.
     *
     * @return the last 2000 characters at most
     */
    public String errorTail() {
        String text = read(errors);
        return text.substring(Math.max(0, text.length() - ERROR_TAIL_CHARACTERS));
    }

    private void sendSignal(String option) {
        try {
            int status = new ProcessBuilder("kill", option, Long.toString(pid()))
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new IllegalStateException("kill " + option + " of " + name + " failed");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    private static void sleepPollInterval() {
        try {
            Thread.sleep(POLL_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }
}
