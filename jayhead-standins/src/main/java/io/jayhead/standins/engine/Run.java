package io.jayhead.standins.engine;

import java.util.ArrayList;
import java.util.List;

/** Holds one request in the engine. Owned by the control thread; changes with each token. */
final class Run {

    private final String id;
    private final Fence fence;
    private final int priority;
    private final long arrival;
    private final GenerateBody body;
    private final SyntheticText text;
    private final int targetTokens;
    private final List<StreamReader> readers = new ArrayList<>();
    private RunState state = RunState.QUEUED;
    private boolean started;
    private int producedTokens;
    private long dueNanos;

    Run(String id, Fence fence, int priority, long arrival, GenerateBody body) {
        this.id = id;
        this.fence = fence;
        this.priority = priority;
        this.arrival = arrival;
        this.body = body;
        this.text = SyntheticText.of(body.model(), body.prompt());
        this.targetTokens = text.outputTokens(body.maxTokens());
    }

    String id() {
        return id;
    }

    Fence fence() {
        return fence;
    }

    int priority() {
        return priority;
    }

    long arrival() {
        return arrival;
    }

    GenerateBody body() {
        return body;
    }

    SyntheticText text() {
        return text;
    }

    RunState state() {
        return state;
    }

    int producedTokens() {
        return producedTokens;
    }

    /** Returns the prompt tokens read, which are 0 while the request waits. */
    int promptTokens() {
        return started ? text.promptTokens() : 0;
    }

    boolean hasStarted() {
        return started;
    }

    long dueNanos() {
        return dueNanos;
    }

    void start(long firstTokenAtNanos) {
        started = true;
        state = RunState.RUNNING;
        dueNanos = firstTokenAtNanos;
        readers.forEach(reader -> reader.advance(this));
    }

    /** Produces one token and tells whether it was the last. */
    boolean produce(long nextDueNanos) {
        producedTokens++;
        dueNanos = nextDueNanos;
        if (producedTokens == targetTokens) {
            end(RunState.DONE);
            return true;
        }
        readers.forEach(reader -> reader.advance(this));
        return false;
    }

    void end(RunState ended) {
        state = ended;
        readers.forEach(reader -> reader.advance(this));
        readers.clear();
    }

    void attach(StreamReader reader) {
        reader.advance(this);
        if (!state.isEnded()) {
            readers.add(reader);
        }
    }

    void detach(StreamReader reader) {
        readers.remove(reader);
    }

    RunUsage usage() {
        return new RunUsage(id, promptTokens(), producedTokens);
    }
}
