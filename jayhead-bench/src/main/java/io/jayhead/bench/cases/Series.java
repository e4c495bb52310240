package io.jayhead.bench.cases;

import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/**
 * Creates benchmark cases. Each subject, which is a measured operation, state or encoded object, gets one case
 * for each size.
 *
 * @param dimension what the sizes count, such as upstreams
 * @param sizes the sizes
 */
record Series(String dimension, List<Integer> sizes) {

    static Series of(String dimension, Integer... sizes) {
        return new Series(dimension, List.of(sizes));
    }

    Stream<BenchCase> timed(String subject, IntFunction<Operation> setup) {
        return sizes.stream().map(size -> new BenchCase.Timed(subject, dimension, size, () -> setup.apply(size)));
    }

    Stream<BenchCase> retained(String subject, IntFunction<Object> build) {
        return sizes.stream().map(size -> new BenchCase.Retained(subject, dimension, size, () -> build.apply(size)));
    }

    Stream<BenchCase> encoded(String subject, ToIntFunction<Integer> bytes) {
        return sizes.stream()
                .map(size -> new BenchCase.Encoded(subject, dimension, size, () -> bytes.applyAsInt(size)));
    }
}
