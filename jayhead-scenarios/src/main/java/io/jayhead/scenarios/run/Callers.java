package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.CallerAnswer;
import io.jayhead.scenarios.client.HttpSender;
import io.jayhead.scenarios.client.Json;
import io.jayhead.scenarios.language.Command;
import io.jayhead.standins.engine.SyntheticText;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Sends requests as callers in the background and keeps them for the checks. */
final class Callers {

    private static final String PROBE_SERVICE = "label";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final Deployment deployment;
    private final List<SentRequest> requests = new ArrayList<>();

    Callers(Deployment deployment) {
        this.deployment = deployment;
    }

    List<SentRequest> all() {
        return List.copyOf(requests);
    }

    boolean contains(String id) {
        return requests.stream().anyMatch(request -> request.id().equals(id));
    }

    SentRequest find(String id) {
        return requests.stream()
                .filter(request -> request.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new NoSuchElementException("no request " + id));
    }

    SentRequest generate(Command.Generate command, int serviceCap) {
        String body = Json.object()
                .put("prompt", command.prompt())
                .put("max_tokens", command.maxTokens())
                .put("stream", command.stream())
                .toString();
        Map<String, String> headers = Map.of(
                "Authorization",
                bearer(command.organisation()),
                "Content-Type",
                "application/json",
                FleetText.IDEMPOTENCY_KEY_HEADER,
                command.key());
        String url = url(command.router(), command.service());
        return send(new SentRequest(
                command.id(),
                command.router(),
                command.organisation(),
                command.service(),
                command.key(),
                command.prompt(),
                Math.min(command.maxTokens(), serviceCap),
                runInBackground(() -> HttpSender.call(POST, url, headers, body))));
    }

    /** Sends a short generation and waits for its answer, whose length is exactly the requested one or the cap. */
    CallerAnswer probe(String router, int maxTokens, int serviceCap) {
        String id = "probe-" + requests.size();
        return generate(
                        new Command.Generate(
                                id,
                                router,
                                PROBE_SERVICE,
                                FleetText.ORGANISATIONS.get(1),
                                id,
                                SyntheticText.EXACT_MARK + " " + id,
                                maxTokens,
                                false),
                        serviceCap)
                .answer()
                .join();
    }

    void book(Command.Book command) {
        String body = Json.object().put("order", command.order()).toString();
        Map<String, String> headers =
                Map.of("Authorization", bearer(command.organisation()), "Content-Type", "application/json");
        String url = url(command.router(), FleetText.BOOKING_SERVICE);
        send(plainRequest(
                command.id(),
                command.router(),
                command.organisation(),
                FleetText.BOOKING_SERVICE,
                command.order(),
                runInBackground(() -> HttpSender.call(POST, url, headers, body))));
    }

    void readStatus(Command.ReadStatus command) {
        Map<String, String> headers = Map.of("Authorization", bearer(command.organisation()));
        String url = url(command.router(), FleetText.STATUS_SERVICE) + "/" + command.order();
        send(plainRequest(
                command.id(),
                command.router(),
                command.organisation(),
                FleetText.STATUS_SERVICE,
                command.order(),
                runInBackground(() -> HttpSender.call(GET, url, headers, ""))));
    }

    /** Runs a task on a new daemon thread. */
    static <T> CompletableFuture<T> runInBackground(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Thread thread = new Thread(
                () -> {
                    try {
                        result.complete(task.get());
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                },
                "scenario-client");
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    private SentRequest send(SentRequest request) {
        requests.add(request);
        return request;
    }

    private static SentRequest plainRequest(
            String id,
            String router,
            String organisation,
            String service,
            String key,
            CompletableFuture<CallerAnswer> answer) {
        return new SentRequest(id, router, organisation, service, key, "", 0, answer);
    }

    private String url(String router, String service) {
        return deployment.callersUrl(router) + "/v1/services/" + service;
    }

    private static String bearer(String organisation) {
        return "Bearer " + FleetText.apiKey(organisation);
    }
}
