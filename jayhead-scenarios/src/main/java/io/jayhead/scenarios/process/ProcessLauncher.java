package io.jayhead.scenarios.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts Java programs of the class path of this process as processes of their own. */
public final class ProcessLauncher {

    private final Path directory;

    /**
     * Creates a launcher.
     *
     * @param directory where the output of the processes goes
     */
    public ProcessLauncher(Path directory) {
        this.directory = directory;
    }

    /**
     * Starts a program.
     *
     * @param name the name of the output files
     * @param mainClass the main class
     * @param arguments its arguments
     * @return the process
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
     * Writes a file beside the output files.
     *
     * @param name the file name
     * @param content the content
     * @return the path
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
