package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import io.jayhead.routing.CacheEvent;
import io.jayhead.routing.LoadReport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Asks the upstreams for load reports and cache events; belongs to the control thread. */
public final class UpstreamPoller {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RoutingService routing;
    private final ControlThread control;
    private final HybridClock clock;
    private final OkHttpClient client;
    private final Set<UpstreamName> waiting = new HashSet<>();

    /**
     * Creates a poller.
     *
     * @param routing takes the reports
     * @param control the control thread
     * @param clock the clock
     * @param timeoutMs the time to wait for a report
     */
    public UpstreamPoller(RoutingService routing, ControlThread control, HybridClock clock, long timeoutMs) {
        this.routing = routing;
        this.control = control;
        this.clock = clock;
        this.client = new UpstreamHttp()
                .fresh()
                .newBuilder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .build();
    }

    /** Asks each upstream that has answered the last question. */
    public void poll() {
        routing.state().fleet().upstreams().values().stream()
                .filter(upstream -> !waiting.contains(upstream.name()))
                .forEach(this::poll);
    }

    private void poll(UpstreamSpec upstream) {
        waiting.add(upstream.name());
        long sentMs = clock.nowMs();
        get(upstream, "/v1/load", report -> routing.reported(upstream.name(), loadReport(report), sentMs));
        if (upstream.type() == UpstreamType.MODEL_ENGINE) {
            long since = routing.state().upstream(upstream.name()).prefixes().nextSequence();
            get(upstream, "/v1/cache/events?since=" + since, events -> cached(upstream.name(), events));
        }
    }

    private void get(UpstreamSpec upstream, String path, Consumer<JsonNode> onAnswer) {
        Request request = new Request.Builder().url(upstream.address() + path).build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                control.execute(() -> waiting.remove(upstream.name()));
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    JsonNode body = response.isSuccessful()
                            ? MAPPER.readTree(response.body().string())
                            : null;
                    control.execute(() -> {
                        waiting.remove(upstream.name());
                        if (body != null) {
                            onAnswer.accept(body);
                        }
                    });
                } catch (IOException e) {
                    control.execute(() -> waiting.remove(upstream.name()));
                }
            }
        });
    }

    private static LoadReport loadReport(JsonNode root) {
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

    private void cached(UpstreamName upstream, JsonNode root) {
        List<CacheEvent> events = new ArrayList<>();
        root.path("events")
                .forEach(event -> events.add(new CacheEvent(
                        event.path("sequence").asLong(),
                        CacheEvent.Operation.valueOf(
                                event.path("operation").asText().toUpperCase(Locale.ROOT)),
                        event.path("prefix").asText())));
        routing.cached(
                upstream, events, root.path("next").asLong(), root.path("gap").asBoolean());
    }

    private static Set<String> texts(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(item -> texts.add(item.asText()));
        return texts;
    }
}
