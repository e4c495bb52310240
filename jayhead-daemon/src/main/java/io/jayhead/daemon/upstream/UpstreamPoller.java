package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import io.jayhead.platform.BoundedBody;
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

/** Polls the upstreams for load reports and cache events; confined to the control thread. */
public final class UpstreamPoller {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RoutingService routing;
    private final ControlThread control;
    private final HybridClock clock;
    private final OkHttpClient client;
    private final Set<UpstreamName> polling = new HashSet<>();

    /**
     * Creates a poller.
     *
     * @param routing receives the load reports and cache events
     * @param control the control thread
     * @param clock the clock
     * @param timeoutMs the time after which a poll is abandoned
     */
    public UpstreamPoller(RoutingService routing, ControlThread control, HybridClock clock, long timeoutMs) {
        this.routing = routing;
        this.control = control;
        this.clock = clock;
        this.client = new UpstreamHttpClients()
                .freshClient()
                .newBuilder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .build();
    }

    /** Polls each upstream whose previous poll was answered or has failed. */
    public void poll() {
        routing.state().fleet().upstreams().values().stream()
                .filter(upstream -> !polling.contains(upstream.name()))
                .forEach(this::poll);
    }

    private void poll(UpstreamSpec upstream) {
        polling.add(upstream.name());
        long sentMs = clock.nowMs();
        get(upstream, "/v1/load", report -> routing.recordLoadReport(upstream.name(), loadReport(report), sentMs));
        if (upstream.type() == UpstreamType.MODEL_ENGINE) {
            long since = routing.state().upstream(upstream.name()).prefixes().nextSequence();
            get(upstream, "/v1/cache/events?since=" + since, events -> recordCacheEvents(upstream.name(), events));
        }
    }

    private void get(UpstreamSpec upstream, String path, Consumer<JsonNode> onAnswer) {
        Request request = new Request.Builder().url(upstream.address() + path).build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                control.execute(() -> polling.remove(upstream.name()));
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    JsonNode body = response.isSuccessful()
                            ? MAPPER.readTree(BoundedBody.text(response.body(), BoundedBody.MAX_REPORT_BYTES))
                            : null;
                    control.execute(() -> {
                        polling.remove(upstream.name());
                        if (body != null) {
                            onAnswer.accept(body);
                        }
                    });
                } catch (IOException e) {
                    control.execute(() -> polling.remove(upstream.name()));
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
                toStrings(root.path("models")),
                toStrings(root.path("adapters")));
    }

    private void recordCacheEvents(UpstreamName upstream, JsonNode root) {
        List<CacheEvent> events = new ArrayList<>();
        root.path("events")
                .forEach(event -> events.add(new CacheEvent(
                        event.path("sequence").asLong(),
                        CacheEvent.Operation.valueOf(
                                event.path("operation").asText().toUpperCase(Locale.ROOT)),
                        event.path("prefix").asText())));
        routing.recordCacheEvents(
                upstream, events, root.path("next").asLong(), root.path("gap").asBoolean());
    }

    private static Set<String> toStrings(JsonNode array) {
        Set<String> strings = new HashSet<>();
        array.forEach(item -> strings.add(item.asText()));
        return strings;
    }
}
