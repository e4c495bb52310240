package io.jayhead.bench.measure;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Describes a measured operation or state at one size. */
public sealed interface BenchCase {

    /**
     * Returns the name of the measured operation or state.
     *
     * @return the subject, as shown in reports
     */
    String subject();

    /**
     * Returns the unit of the size, such as upstreams.
     *
     * @return the dimension
     */
    String dimension();

    /**
     * Returns the size at which the subject is measured.
     *
     * @return the number of units of the dimension
     */
    int size();

    /**
     * Describes an operation whose processor time and allocation are measured.
     *
     * @param setup builds the state and returns the operation on it
     */
    record Timed(String subject, String dimension, int size, Supplier<Operation> setup) implements BenchCase {}

    /**
     * Describes a state whose retained memory is measured.
     *
     * @param build builds the state
     */
    record Retained(String subject, String dimension, int size, Supplier<Object> build) implements BenchCase {}

    /**
     * Describes a message or stored object whose encoded size is measured.
     *
     * @param bytes encodes the object and returns its length in bytes
     */
    record Encoded(String subject, String dimension, int size, IntSupplier bytes) implements BenchCase {}
}
