package io.jayhead.load.experiment;

import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.RequestShape;
import io.jayhead.model.RequestKey;
import io.jayhead.model.RequestKind;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Writes the fleet text of an experiment. Weights have the names of their models, because routers look for the names of
 * the weights among the models that engines report as loaded.
 */
final class FleetText {

    static final List<String> ZONES = List.of("az-1", "az-2", "az-3");

    private final Mix mix;

    FleetText(Mix mix) {
        this.mix = mix;
    }

    /** Returns the API keys by organisation. */
    static Map<String, String> apiKeys(Mix mix) {
        return mix.organisations().stream().collect(Collectors.toMap(name -> name, name -> "api-key-of-" + name));
    }

    String write(List<Integer> enginePorts, List<Integer> bookingPorts) {
        StringBuilder text = new StringBuilder("fleet: " + mix.text() + "\n");
        text.append("weights:\n  - name: large\n  - name: small\n");
        text.append("models:\n  - name: large\n    weights: large\n  - name: small\n    weights: small\n");
        text.append("upstreams:\n");
        upstreams(text, "engine", "model_engine", enginePorts);
        upstreams(text, "booking", "plain_service", bookingPorts);
        text.append("services:\n");
        mix.shapes().forEach(shape -> service(text, shape));
        organisations(text);
        return text.toString();
    }

    static String zone(int index) {
        return ZONES.get(index % ZONES.size());
    }

    private static void upstreams(StringBuilder text, String prefix, String type, List<Integer> ports) {
        for (int index = 0; index < ports.size(); index++) {
            text.append("  - name: " + prefix + "-" + (index + 1) + "\n")
                    .append("    type: " + type + "\n")
                    .append("    availability_zone: " + zone(index) + "\n")
                    .append("    address: http://127.0.0.1:" + ports.get(index) + "\n")
                    .append("    checks_fencing: " + type.equals("model_engine") + "\n");
        }
    }

    private void service(StringBuilder text, RequestShape shape) {
        if (shape.kind().isGeneration()) {
            String engines = IntStream.rangeClosed(1, mix.engines())
                    .mapToObj(number -> "engine-" + number)
                    .collect(Collectors.joining(", "));
            text.append("  - name: " + shape.service() + "\n")
                    .append("    kind: " + shape.kind().configName() + "\n")
                    .append("    upstreams: [" + engines + "]\n")
                    .append("    depends_on: [model/" + shape.model() + "]\n")
                    .append("    max_output_tokens: " + shape.outputTokens().highest() + "\n")
                    .append("    idempotency_key: {header: Idempotency-Key}\n");
            return;
        }
        for (int number = 1; number <= Mix.BOOKING_SERVICES; number++) {
            text.append("  - name: " + shape.service() + "-" + number + "\n")
                    .append("    kind: " + shape.kind().configName() + "\n")
                    .append("    upstreams: [booking-" + number + "]\n")
                    .append("    path: /bookings\n");
            if (shape.kind() == RequestKind.BOOKING) {
                text.append("    idempotency_key: {pointer: /order}\n")
                        .append("    price_tokens: " + Mix.BOOKING_PRICE_TOKENS + "\n")
                        .append("    status_service: " + shape.service() + "-status-" + number + "\n");
            }
        }
    }

    private void organisations(StringBuilder text) {
        text.append("organisations:\n");
        apiKeys(mix)
                .forEach((name, key) -> text.append("  - name: " + name + "\n")
                        .append("    api_key_sha256: [" + RequestKey.sha256(key) + "]\n")
                        .append("    max_in_flight: 512\n"));
        text.append("budgets:\n");
        budgets(text, Mix.GENERATIONS_BUDGET, shape -> shape.kind().isGeneration());
        budgets(text, Mix.BOOKINGS_BUDGET, shape -> !shape.kind().isGeneration());
    }

    private void budgets(StringBuilder text, String budget, Predicate<RequestShape> paidShapes) {
        String services = mix.shapes().stream()
                .filter(paidShapes)
                .flatMap(FleetText::serviceNames)
                .collect(Collectors.joining(", "));
        mix.organisations()
                .forEach(name -> text.append("  - name: " + budget + "\n")
                        .append("    organisation: " + name + "\n")
                        .append("    services: [" + services + "]\n"));
    }

    private static Stream<String> serviceNames(RequestShape shape) {
        if (shape.kind().isGeneration()) {
            return Stream.of(shape.service());
        }
        return IntStream.rangeClosed(1, Mix.BOOKING_SERVICES).mapToObj(number -> shape.service() + "-" + number);
    }
}
