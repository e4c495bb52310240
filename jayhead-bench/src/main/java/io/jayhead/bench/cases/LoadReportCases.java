package io.jayhead.bench.cases;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.routing.LoadReport;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures the parsing of load reports, done as in the poller of the daemon but without HTTP. */
final class LoadReportCases {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Series REPORTS = Series.of("load reports", 10, 60, 600);
    private static final Series MODELS = Series.of("models in a report", 1, 5, 39);
    private static final int FEW_MODELS = 3;

    private LoadReportCases() {}

    static List<BenchCase> of() {
        return Stream.of(
                        REPORTS.timed("load reports: parse one poll of all upstreams", LoadReportCases::parseAll),
                        MODELS.timed("load reports: parse", size -> parse(json(size))),
                        MODELS.encoded("load reports: body", size -> json(size).length()))
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation parseAll(int reports) {
        Operation parse = parse(json(FEW_MODELS));
        return () -> {
            Object last = null;
            for (int index = 0; index < reports; index++) {
                last = parse.run();
            }
            return last;
        };
    }

    private static Operation parse(String json) {
        return () -> {
            try {
                return report(MAPPER.readTree(json));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        };
    }

    private static LoadReport report(JsonNode root) {
        return new LoadReport(
                root.path("queued").asInt(),
                root.path("running").asInt(),
                root.path("max_batch").asInt(1),
                root.path("tokens_per_second").asDouble(),
                root.path("draining").asBoolean(),
                root.path("age_ms").asLong(),
                texts(root.path("models")),
                texts(root.path("adapters")));
    }

    private static Set<String> texts(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(item -> texts.add(item.asText()));
        return texts;
    }

    private static String json(int models) {
        String names = IntStream.range(0, models)
                .mapToObj(index -> "\"model-" + index + "\"")
                .collect(Collectors.joining(","));
        return "{\"queued\":2,\"running\":20,\"max_batch\":32,\"tokens_per_second\":700.0,\"draining\":false,"
                + "\"age_ms\":300,\"models\":[" + names + "],\"adapters\":[]}";
    }
}
