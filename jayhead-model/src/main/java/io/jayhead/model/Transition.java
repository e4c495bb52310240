package io.jayhead.model;

import java.util.List;

/**
 * Holds the outcome of an event that a state machine handled: the next state and the commands to carry out.
 *
 * @param state the next state
 * @param commands the commands, in the order in which they are carried out
 * @param <S> the type of the state
 * @param <C> the type of the commands
 */
public record Transition<S, C>(S state, List<C> commands) {

    /** Copies the list. */
    public Transition {
        commands = List.copyOf(commands);
    }

    /**
     * Returns a transition.
     *
     * @param state the next state
     * @param commands the commands, in order
     * @param <S> the type of the state
     * @param <C> the type of the commands
     * @return the transition
     */
    @SafeVarargs
    @SuppressWarnings("varargs")
    public static <S, C> Transition<S, C> of(S state, C... commands) {
        return new Transition<>(state, List.of(commands));
    }
}
