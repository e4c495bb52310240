package io.jayhead.config.fleet;

import io.jayhead.config.yaml.ProblemSink;
import io.jayhead.model.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Collects the problems of one fleet text or settings text. */
public final class ConfigProblems implements ProblemSink {

    private final List<ConfigProblem> problems = new ArrayList<>();

    @Override
    public void report(int line, String field, String expected, String found) {
        problems.add(new ConfigProblem(line, field, expected, found));
    }

    /**
     * Returns the number of problems reported so far.
     *
     * @return the number
     */
    public int count() {
        return problems.size();
    }

    /**
     * Builds a value unless problems were reported since an earlier call of {@link #count()}.
     *
     * @param countBefore the result of that call
     * @param builder builds the value
     * @param <T> the type of the value
     * @return the value, or empty if problems were reported since
     */
    public <T> Optional<T> unlessReportedSince(int countBefore, Supplier<T> builder) {
        return count() == countBefore ? Optional.of(builder.get()) : Optional.empty();
    }

    /**
     * Returns all problems, sorted by line, or a value if there are none.
     *
     * @param builder builds the value; not called if there are problems
     * @param <T> the type of the value
     * @return the problems or the value
     */
    public <T> Either<List<ConfigProblem>, T> orElse(Supplier<T> builder) {
        if (problems.isEmpty()) {
            return Either.right(builder.get());
        }
        return Either.left(problems.stream()
                .sorted(Comparator.comparingInt(ConfigProblem::line))
                .toList());
    }
}
