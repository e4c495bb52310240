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
 * Summarises a run.
 *
 * @param total all first sends
 * @param kinds the first sends of each kind
 * @param retries all repeated requests
 * @param fairness the index of Jain over the share of whole answers of each organisation
 */
public record Measures(KindMeasures total, List<KindMeasures> kinds, KindMeasures retries, double fairness) {

    /**
     * Summarises results.
     *
     * @param results the results of a run
     * @return the summary
     */
    public static Measures of(List<Result> results) {
        List<Result> first = where(results, result -> !result.request().retry());
        List<KindMeasures> kinds = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            List<Result> ofKind = where(first, result -> result.request().kind() == kind);
            if (!ofKind.isEmpty()) {
                kinds.add(KindMeasures.of(kind.configName(), ofKind));
            }
        }
        List<Result> retries = where(results, result -> result.request().retry());
        return new Measures(
                KindMeasures.of("total", first), kinds, KindMeasures.of("retries", retries), fairness(first));
    }

    private static List<Result> where(List<Result> results, Predicate<Result> condition) {
        return results.stream().filter(condition).toList();
    }

    private static double fairness(List<Result> first) {
        Map<String, Double> shares = first.stream()
                .collect(Collectors.groupingBy(
                        result -> result.request().organisation(),
                        Collectors.averagingDouble(result -> result.outcome().type() == OutcomeType.WHOLE ? 1 : 0)));
        return Fairness.jain(shares.values());
    }
}
