package io.jayhead.load.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Starts the processes of an experiment and kills only these, on close or when this JVM shuts down. */
final class ProcessGroup implements AutoCloseable {

    private static final long READY_LIMIT_S = 20;

    private final List<ChildProcess> children = new CopyOnWriteArrayList<>();
    private final Thread shutdownHook = new Thread(this::killAll, "stop-children");
    private final Path directory;

    ProcessGroup(Path directory) {
        this.directory = directory;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    ChildProcess start(String name, String classPath, String mainClass, List<String> arguments) {
        ChildProcess child = ChildProcess.start(name, directory, classPath, mainClass, arguments);
        children.add(child);
        return child;
    }

    void awaitReady() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_LIMIT_S);
        for (ChildProcess child : children) {
            child.awaitReady(deadlineNs);
        }
    }

    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private void killAll() {
        children.forEach(ChildProcess::kill);
    }
}
