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
 * @param sent the number of requests sent
 * @param outcomes the number of requests by outcome
 * @param codes the number of requests without a whole answer, by outcome and code
 * @param firstToken the times from planned arrival to first token
 * @param betweenTokens the times between successive tokens
 * @param answer the times from planned arrival to the end of whole answers
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
     * Summarises the results of a group of requests.
     *
     * @param name the name of the group
     * @param results the results of the group
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
        LongStream firstTokenNs =
                outcomes(results).mapToLong(Outcome::firstTokenNs).filter(timeNs -> timeNs > 0);
        LongStream gapsNs = outcomes(results)
                .flatMapToLong(outcome -> outcome.gapsNs().stream().mapToLong(gapNs -> gapNs));
        LongStream answerNs = outcomes(results)
                .filter(outcome -> outcome.type() == OutcomeType.WHOLE)
                .mapToLong(Outcome::answerNs);
        return new KindMeasures(
                name,
                results.size(),
                outcomes,
                codes,
                Percentiles.of(firstTokenNs),
                Percentiles.of(gapsNs),
                Percentiles.of(answerNs));
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param type the outcome
     * @return the number of requests; 0 if none had this outcome
     */
    public long count(OutcomeType type) {
        return outcomes.getOrDefault(type, 0L);
    }

    private static Stream<Outcome> outcomes(List<Result> results) {
        return results.stream().map(Result::outcome);
    }
}
