package io.jayhead.scenarios.run;

import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.language.FleetEdit;
import io.jayhead.scenarios.language.Node;
import io.jayhead.scenarios.language.NodeKind;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Renders the fleet text of a scenario: two organisations with one budget each, three generation services and, if the
 * scenario has booking stand-ins, the booking service {@code desk} with its status service.
 *
 * @param upstreams the engines and booking stand-ins
 * @param outputCaps {@code max_output_tokens} by generation service
 * @param leaving the names of the upstreams that the text marks as leaving
 */
record FleetText(List<Node> upstreams, Map<String, Integer> outputCaps, Set<String> leaving) {

    static final List<String> ORGANISATIONS = List.of("shop-1", "shop-2");
    static final String BUDGET = "main";
    /**
     * Name of both the model and its weights. The engine stand-in has one list of models for the requests that it
     * accepts and for its load reports.
     */
    static final String MODEL = "large";

    static final String BOOKING_SERVICE = "desk";
    static final String STATUS_SERVICE = "desk-status";
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final Map<String, Integer> DEFAULT_CAPS = Map.of("plan", 2000, "chat", 500, "label", 40);
    private static final Map<String, String> KINDS =
            Map.of("plan", "long_generation", "chat", "interactive", "label", "summary");

    FleetText {
        upstreams = List.copyOf(upstreams);
        outputCaps = new TreeMap<>(outputCaps);
        leaving = new TreeSet<>(leaving);
    }

    static FleetText of(List<Node> nodes) {
        List<Node> upstreams = nodes.stream()
                .filter(node -> node.kind() == NodeKind.ENGINE || node.kind() == NodeKind.BOOKING)
                .toList();
        return new FleetText(upstreams, DEFAULT_CAPS, Set.of());
    }

    static String apiKey(String organisation) {
        return "key-of-" + organisation;
    }

    FleetText with(FleetEdit edit) {
        if (edit instanceof FleetEdit.Leaving change) {
            Set<String> next = new TreeSet<>(leaving);
            next.add(change.upstream());
            return new FleetText(upstreams, outputCaps, next);
        }
        FleetEdit.OutputCap change = (FleetEdit.OutputCap) edit;
        Map<String, Integer> next = new TreeMap<>(outputCaps);
        next.put(change.service(), change.maxOutputTokens());
        return new FleetText(upstreams, next, leaving);
    }

    int outputCap(String service) {
        return outputCaps.get(service);
    }

    String render(Function<String, String> addressOf) {
        StringBuilder text = new StringBuilder("fleet: scenario\nweights:\n  - name: " + MODEL + "\nmodels:\n");
        text.append("  - name: ")
                .append(MODEL)
                .append("\n    weights: ")
                .append(MODEL)
                .append("\nupstreams:\n");
        upstreams.forEach(node -> text.append(upstream(node, addressOf.apply(node.name()))));
        text.append("services:\n");
        outputCaps.forEach((service, cap) -> text.append(generationService(service, cap)));
        boolean hasBookingService = upstreams.stream().anyMatch(node -> node.kind() == NodeKind.BOOKING);
        if (hasBookingService) {
            text.append(bookingServices());
        }
        text.append("organisations:\n");
        ORGANISATIONS.forEach(name -> text.append(
                "  - name: %s%n    api_key_sha256: [%s]%n".formatted(name, RequestKey.sha256(apiKey(name)))));
        text.append("budgets:\n");
        String services = String.join(", ", outputCaps.keySet())
                + (hasBookingService ? ", " + BOOKING_SERVICE + ", " + STATUS_SERVICE : "");
        ORGANISATIONS.forEach(name -> text.append(
                "  - name: %s%n    organisation: %s%n    services: [%s]%n".formatted(BUDGET, name, services)));
        return text.toString();
    }

    private String upstream(Node node, String address) {
        boolean engine = node.kind() == NodeKind.ENGINE;
        return """
                  - name: %s
                    type: %s
                    availability_zone: %s
                    address: http://%s
                    checks_fencing: %s
                    leaving: %s
                """.formatted(
                        node.name(),
                        engine ? "model_engine" : "plain_service",
                        node.availabilityZone(),
                        address,
                        node.has("fencing"),
                        leaving.contains(node.name()));
    }

    private String generationService(String service, int cap) {
        return """
                  - name: %s
                    kind: %s
                    upstreams: [%s]
                    depends_on: [model/%s]
                    max_output_tokens: %d
                    idempotency_key: {header: %s}
                """.formatted(
                service, KINDS.get(service), upstreamNames(NodeKind.ENGINE), MODEL, cap, IDEMPOTENCY_KEY_HEADER);
    }

    private String bookingServices() {
        return """
                  - name: %s
                    kind: booking
                    upstreams: [%s]
                    path: /bookings
                    idempotency_key: {pointer: /order}
                    price_tokens: 5
                    status_service: %s
                  - name: %s
                    kind: status_read
                    upstreams: [%s]
                    path: /bookings
                """.formatted(
                        BOOKING_SERVICE,
                        upstreamNames(NodeKind.BOOKING),
                        STATUS_SERVICE,
                        STATUS_SERVICE,
                        upstreamNames(NodeKind.BOOKING));
    }

    private String upstreamNames(NodeKind kind) {
        return upstreams.stream()
                .filter(node -> node.kind() == kind)
                .map(Node::name)
                .collect(Collectors.joining(", "));
    }
}
