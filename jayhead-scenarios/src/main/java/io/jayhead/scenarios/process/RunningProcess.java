package io.jayhead.scenarios.process;

import io.jayhead.scenarios.language.ProcessSignal;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** Controls one process that a launcher started. */
public final class RunningProcess {

    private static final long POLL_MS = 10;
    private static final int SHOWN_CHARACTERS = 2000;

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

    /** Tells whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Waits for a line of the standard output.
     *
     * @param prefix the start of the line
     * @param limitMs the longest wait
     * @return the rest of the line
     * @throws IllegalStateException if the process ends or the limit passes
     */
    public String awaitLine(String prefix, long limitMs) {
        long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (System.nanoTime() < limitNanos) {
            boolean alive = process.isAlive();
            Optional<String> line =
                    read(output).lines().filter(text -> text.startsWith(prefix)).findFirst();
            if (line.isPresent()) {
                return line.get().substring(prefix.length()).strip();
            }
            if (!alive) {
                throw new IllegalStateException(name + " ended with " + process.exitValue() + ": " + errorTail());
            }
            pause();
        }
        throw new IllegalStateException(name + " did not print '" + prefix + "': " + errorTail());
    }

    /**
     * Waits for the end.
     *
     * @param limitMs the longest wait
     * @return the exit status, or empty if the process still runs
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
     * Sends a signal.
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
            case PAUSE -> kill("-STOP");
            case RESUME -> kill("-CONT");
            case RELOAD -> kill("-HUP");
            default -> throw new IllegalArgumentException("unknown signal: " + signal);
        }
    }

    /**
     * Returns the end of the standard error.
     *
     * @return at most a few thousand characters
     */
    public String errorTail() {
        String text = read(errors);
        return text.substring(Math.max(0, text.length() - SHOWN_CHARACTERS));
    }

    private void kill(String option) {
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

    private static void pause() {
        try {
            Thread.sleep(POLL_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }
}
