package io.jayhead.bench.measure;

/** Performs the measured work once. */
@FunctionalInterface
public interface Operation {

    /**
     * Performs the work.
     *
     * @return the result, which the meter uses so that the work is not optimised away
     */
    Object run();
}
