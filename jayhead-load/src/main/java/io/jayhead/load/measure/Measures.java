package io.jayhead.load.measure;

import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.client.Result;
import io.jayhead.model.RequestKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Summarises the outcomes of a run.
 *
 * @param total all requests, without retries
 * @param kinds the requests of each kind that was sent, without retries
 * @param retries all retries
 * @param fairness Jain's fairness index of the shares of whole answers by organisation
 */
public record Measures(KindMeasures total, List<KindMeasures> kinds, KindMeasures retries, double fairness) {

    /**
     * Summarises the results of a run.
     *
     * @param results the results, retries included
     * @return the summary
     */
    public static Measures of(List<Result> results) {
        List<Result> firstSends = filter(results, result -> !result.request().retry());
        List<KindMeasures> kinds = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            List<Result> resultsOfKind =
                    filter(firstSends, result -> result.request().kind() == kind);
            if (!resultsOfKind.isEmpty()) {
                kinds.add(KindMeasures.of(kind.configName(), resultsOfKind));
            }
        }
        List<Result> retries = filter(results, result -> result.request().retry());
        return new Measures(
                KindMeasures.of("total", firstSends), kinds, KindMeasures.of("retries", retries), fairness(firstSends));
    }

    private static List<Result> filter(List<Result> results, Predicate<Result> condition) {
        return results.stream().filter(condition).toList();
    }

    private static double fairness(List<Result> firstSends) {
        Map<String, Double> shares = firstSends.stream()
                .collect(Collectors.groupingBy(
                        result -> result.request().organisation(),
                        Collectors.averagingDouble(result -> result.outcome().type() == OutcomeType.WHOLE ? 1 : 0)));
        return Fairness.jain(shares.values());
    }
}
