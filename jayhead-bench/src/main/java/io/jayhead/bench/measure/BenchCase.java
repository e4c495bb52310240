package io.jayhead.bench.measure;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Describes a subject at one size. */
public sealed interface BenchCase {

    /**
     * Returns what is measured.
     *
     * @return the subject
     */
    String subject();

    /**
     * Returns what the size counts.
     *
     * @return the dimension
     */
    String dimension();

    /**
     * Returns the size.
     *
     * @return the count
     */
    int size();

    /**
     * An operation whose processor time and allocation are measured.
     *
     * @param setup builds the state that the operation works on
     */
    record Timed(String subject, String dimension, int size, Supplier<Operation> setup) implements BenchCase {}

    /**
     * A state whose retained memory is measured.
     *
     * @param build builds the state
     */
    record Retained(String subject, String dimension, int size, Supplier<Object> build) implements BenchCase {}

    /**
     * A message or stored object whose size is measured.
     *
     * @param bytes counts the bytes
     */
    record Encoded(String subject, String dimension, int size, IntSupplier bytes) implements BenchCase {}
}
