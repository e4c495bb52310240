package io.jayhead.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends the requests of the demonstration through the routers and checks the answers. */
public final class DemoMain {

    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_PRINTED_CHARACTERS = 400;
    private static final int TIMEOUT_SECONDS = 60;
    private static final String LONG_GENERATION =
            "{\"prompt\":\"[exact] a history of seven years of watering and wiring\",\"max_tokens\":120}";

    private final OkHttpClient client = new OkHttpClient.Builder()
            .readTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build();
    private final List<String> routers;
    private final String apiKey;

    private DemoMain(List<String> routers, String apiKey) {
        this.routers = List.copyOf(routers);
        this.apiKey = apiKey;
    }

    /**
     * Runs the demonstration and exits with 0 if all answers were as expected, otherwise with 1.
     *
     * @param arguments the command line
     * @throws IOException if the key file cannot be read or a router does not answer
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> routers = parser.accepts("router", "address of a router for callers")
                .withRequiredArg()
                .required();
        OptionSpec<String> apiKey = parser.accepts("api-key-file", "file with the API key")
                .withRequiredArg()
                .required();
        OptionSet options = parser.parse(arguments);
        String key = Files.readString(Path.of(options.valueOf(apiKey))).trim();
        boolean passed = new DemoMain(options.valuesOf(routers), key).run();
        System.exit(passed ? 0 : 1);
    }

    private boolean run() throws IOException {
        boolean passed = true;
        int index = 0;
        for (DemoStep step : steps()) {
            String router = routers.get(index++ % routers.size());
            passed &= run(step, router);
        }
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        return passed;
    }

    private boolean run(DemoStep step, String router) throws IOException {
        DemoAnswer answer = send(step, router);
        boolean passed = step.check().test(answer);
        System.out.println("== " + step.title() + " (" + step.method() + " " + step.path() + ")");
        System.out.println("HTTP " + answer.status() + ", verdict " + answer.verdict());
        System.out.println(abbreviate(answer.body()));
        System.out.println((passed ? "as expected: " : "NOT AS EXPECTED, wanted: ") + step.expected());
        System.out.println();
        return passed;
    }

    private DemoAnswer send(DemoStep step, String router) throws IOException {
        RequestBody body = "GET".equals(step.method()) ? null : RequestBody.create(step.body(), JSON);
        Request request = new Request.Builder()
                .url(router + step.path())
                .header("Authorization", "Bearer " + apiKey)
                .header("X-Plan", step.planKey())
                .method(step.method(), body)
                .build();
        try (Response response = client.newCall(request).execute()) {
            return new DemoAnswer(
                    response.code(),
                    response.header("Jayhead-Verdict", ""),
                    response.body().string());
        }
    }

    private static List<DemoStep> steps() {
        return Stream.of(generations(), bookings(), refusals())
                .flatMap(List::stream)
                .toList();
    }

    private static List<DemoStep> generations() {
        return List.of(
                new DemoStep(
                        "one long generation",
                        "POST",
                        "/v1/services/plan",
                        LONG_GENERATION,
                        "demo-plan-1",
                        "120 output tokens, verdict ran",
                        answer -> answer.status() == 200
                                && answer.body().contains("\"output_tokens\":120")
                                && answer.body().contains("\"verdict\":\"ran\"")),
                new DemoStep(
                        "the same generation again through another router",
                        "POST",
                        "/v1/services/plan",
                        LONG_GENERATION,
                        "demo-plan-1",
                        "the same answer; it is billed once",
                        answer -> answer.status() == 200
                                && answer.body().contains("\"output_tokens\":120")
                                && answer.body().contains("\"verdict\":\"ran\"")),
                new DemoStep(
                        "one short streamed question",
                        "POST",
                        "/v1/services/question",
                        "{\"prompt\":\"[exact] when is it open\",\"max_tokens\":8,\"stream\":true}",
                        "demo-question",
                        "8 token events and one done event",
                        answer -> answer.status() == 200
                                && answer.occurrences("event: token") == 8
                                && answer.occurrences("event: done") == 1));
    }

    private static List<DemoStep> bookings() {
        return List.of(
                new DemoStep(
                        "one booking",
                        "POST",
                        "/v1/services/desk",
                        "{\"order\":\"order-17\",\"slot\":\"monday\"}",
                        "demo",
                        "one execution",
                        answer -> answer.status() == 201
                                && answer.verdict().equals("ran")
                                && answer.body().contains("\"executions\":1")),
                new DemoStep(
                        "the same booking again through another router",
                        "POST",
                        "/v1/services/desk",
                        "{\"order\":\"order-17\",\"slot\":\"monday\"}",
                        "demo",
                        "the stored answer, still one execution",
                        answer -> answer.status() == 201
                                && answer.verdict().equals("ran")
                                && answer.body().contains("\"executions\":1")),
                new DemoStep(
                        "one status read",
                        "GET",
                        "/v1/services/desk-status/order-17",
                        "",
                        "demo",
                        "one execution",
                        answer -> answer.status() == 200
                                && answer.body().contains("order-17")
                                && answer.body().contains("\"executions\":1")));
    }

    private static List<DemoStep> refusals() {
        return List.of(new DemoStep(
                "one request beyond the budget",
                "POST",
                "/v1/services/plan",
                "{\"prompt\":\"" + "word ".repeat(400) + "\",\"max_tokens\":400}",
                "demo-plan-2",
                "refused as budget_exhausted, verdict not_run",
                answer -> answer.status() == 402
                        && answer.body().contains("\"code\":\"budget_exhausted\"")
                        && answer.body().contains("\"verdict\":\"not_run\"")));
    }

    private static String abbreviate(String text) {
        String trimmed = text.strip();
        return trimmed.length() <= MAX_PRINTED_CHARACTERS
                ? trimmed
                : trimmed.substring(0, MAX_PRINTED_CHARACTERS) + " ... (" + trimmed.length() + " characters)";
    }
}
