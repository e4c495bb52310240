package io.jayhead.scenarios.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts Java programs as child processes with this process's class path and small heaps. */
public final class ProcessLauncher {

    private final Path directory;

    /**
     * Creates a launcher.
     *
     * @param directory the directory for the output files of the processes; created if absent
     */
    public ProcessLauncher(Path directory) {
        this.directory = directory;
    }

    /**
     * Starts a program and does not wait until it is ready.
     *
     * @param name the name of the process and of its output files, without extension
     * @param mainClass the fully qualified name of the main class
     * @param arguments its arguments
     * @return the started process
     */
    public RunningProcess start(String name, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        try {
            Files.createDirectories(directory);
            Path output = directory.resolve(name + ".out");
            Path errors = directory.resolve(name + ".err");
            Process process = new ProcessBuilder(command)
                    .redirectOutput(output.toFile())
                    .redirectError(errors.toFile())
                    .start();
            return new RunningProcess(name, process, output, errors);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /**
     * Writes a file into the directory of the output files.
     *
     * @param name the file name
     * @param content the content
     * @return the path of the file
     */
    public Path write(String name, String content) {
        try {
            Files.createDirectories(directory);
            return Files.writeString(directory.resolve(name), content);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + name, e);
        }
    }
}
