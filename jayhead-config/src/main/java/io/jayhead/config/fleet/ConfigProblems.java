package io.jayhead.config.fleet;

import io.jayhead.config.yaml.ProblemSink;
import io.jayhead.model.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Collects the problems of one text. */
public final class ConfigProblems implements ProblemSink {

    private final List<ConfigProblem> problems = new ArrayList<>();

    @Override
    public void report(int line, String field, String expected, String found) {
        problems.add(new ConfigProblem(line, field, expected, found));
    }

    /**
     * Returns the number of problems so far.
     *
     * @return the number
     */
    public int count() {
        return problems.size();
    }

    /**
     * Builds a value unless problems were reported since a mark.
     *
     * @param mark an earlier result of {@link #count()}
     * @param builder builds the value
     * @param <T> the type of the value
     * @return the value, or empty if there were problems
     */
    public <T> Optional<T> unlessReportedSince(int mark, Supplier<T> builder) {
        return count() == mark ? Optional.of(builder.get()) : Optional.empty();
    }

    /**
     * Returns all problems by line, or a value if there are none.
     *
     * @param builder builds the value
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
