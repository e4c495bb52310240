package io.jayhead.bench.measure;

/** Represents a measured operation. */
@FunctionalInterface
public interface Operation {

    /**
     * Performs the operation once.
     *
     * @return a result, which the meter uses so that the JIT compiler cannot remove the operation
     */
    Object run();
}
