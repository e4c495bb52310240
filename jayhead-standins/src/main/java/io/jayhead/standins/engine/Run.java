package io.jayhead.standins.engine;

import java.util.ArrayList;
import java.util.List;

/** Holds the state of one request in the engine. Not thread-safe: only the control thread uses it. */
final class Run {

    private final String id;
    private final Fence fence;
    private final int priority;
    private final long arrival;
    private final GenerateBody body;
    private final SyntheticText text;
    private final int targetTokens;
    private final List<StreamSubscriber> subscribers = new ArrayList<>();
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

    /** Returns the prompt tokens processed, which are 0 until the request starts. */
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
        subscribers.forEach(subscriber -> subscriber.sendPending(this));
    }

    /** Produces one token and returns whether it was the last. */
    boolean produceToken(long nextDueNanos) {
        producedTokens++;
        dueNanos = nextDueNanos;
        if (producedTokens == targetTokens) {
            end(RunState.DONE);
            return true;
        }
        subscribers.forEach(subscriber -> subscriber.sendPending(this));
        return false;
    }

    void end(RunState endState) {
        state = endState;
        subscribers.forEach(subscriber -> subscriber.sendPending(this));
        subscribers.clear();
    }

    void subscribe(StreamSubscriber subscriber) {
        subscriber.sendPending(this);
        if (!state.isEnded()) {
            subscribers.add(subscriber);
        }
    }

    void unsubscribe(StreamSubscriber subscriber) {
        subscribers.remove(subscriber);
    }

    RunUsage usage() {
        return new RunUsage(id, promptTokens(), producedTokens);
    }
}
