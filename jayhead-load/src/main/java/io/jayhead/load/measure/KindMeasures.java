package io.jayhead.load.measure;

import io.jayhead.load.client.Outcome;
import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.client.Result;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Summarises the requests of one kind.
 *
 * @param name the kind, or {@code retries} for all repeated requests
 * @param sent the requests sent
 * @param outcomes the number of requests by outcome
 * @param codes the number of requests that did not end whole by outcome and code
 * @param firstToken the time from planned arrival to first token
 * @param betweenTokens the times between tokens
 * @param answer the time from planned arrival to the end of whole answers
 */
public record KindMeasures(
        String name,
        long sent,
        Map<OutcomeType, Long> outcomes,
        SortedMap<String, Long> codes,
        Percentiles firstToken,
        Percentiles betweenTokens,
        Percentiles answer) {

    /**
     * Summarises results.
     *
     * @param name the name of the group
     * @param results the results
     * @return the summary
     */
    public static KindMeasures of(String name, List<Result> results) {
        Map<OutcomeType, Long> outcomes =
                outcomes(results).collect(Collectors.groupingBy(Outcome::type, TreeMap::new, Collectors.counting()));
        SortedMap<String, Long> codes = outcomes(results)
                .filter(outcome -> outcome.type() != OutcomeType.WHOLE)
                .collect(Collectors.groupingBy(
                        outcome -> outcome.type().name().toLowerCase(Locale.ROOT) + ":" + outcome.code(),
                        TreeMap::new,
                        Collectors.counting()));
        LongStream firstNs = outcomes(results).mapToLong(Outcome::firstTokenNs).filter(timeNs -> timeNs > 0);
        LongStream gapsNs = outcomes(results)
                .flatMapToLong(outcome -> outcome.gapsNs().stream().mapToLong(gap -> gap));
        LongStream answerNs = outcomes(results)
                .filter(outcome -> outcome.type() == OutcomeType.WHOLE)
                .mapToLong(Outcome::answerNs);
        return new KindMeasures(
                name,
                results.size(),
                outcomes,
                codes,
                Percentiles.of(firstNs),
                Percentiles.of(gapsNs),
                Percentiles.of(answerNs));
    }

    /**
     * Returns the number of requests that ended in one way.
     *
     * @param type the outcome
     * @return requests
     */
    public long count(OutcomeType type) {
        return outcomes.getOrDefault(type, 0L);
    }

    private static Stream<Outcome> outcomes(List<Result> results) {
        return results.stream().map(Result::outcome);
    }
}
