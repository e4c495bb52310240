package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.dispatch.Usage;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** Runs generations on model engines and turns their answers into dispatch events. */
public final class EngineClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final String DATA_PREFIX = "data:";
    private static final long CANCEL_TIMEOUT_MS = 900;

    /** The first fencing token of an incarnation; a reclaim raises it to 2. */
    static final String FIRST_FENCING_TOKEN = "1";

    private final UpstreamHttp http;
    private final HybridClock clock;

    /**
     * Creates the client.
     *
     * @param http the HTTP clients
     * @param clock the clock
     */
    public EngineClient(UpstreamHttp http, HybridClock clock) {
        this.http = http;
        this.clock = clock;
    }

    /**
     * Starts or resumes a run.
     *
     * @param order the attempt
     * @param model the model
     * @param prompt the prompt
     * @param maxTokens the output cap
     * @param events receives the events on a traffic thread
     * @return the call, to be cancelled when the attempt is given up
     */
    public Call generate(
            AttemptOrder order, String model, String prompt, long maxTokens, Consumer<DispatchEvent> events) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model);
        body.put("prompt", prompt);
        body.put("max_tokens", maxTokens);
        String address = order.upstream().address();
        Request request = order.resumeFromIndex() == 0
                ? headers(order, address + "/v1/generate")
                        .post(RequestBody.create(body.toString(), JSON))
                        .build()
                : headers(
                                order,
                                address + "/v1/requests/" + order.upstreamRequestId() + "/stream?from="
                                        + order.resumeFromIndex())
                        .build();
        SendTracker tracker = new SendTracker();
        OkHttpClient client = client(order).newBuilder().eventListener(tracker).build();
        Call call = client.newCall(request);
        call.enqueue(new StreamCallback(order.attempt(), tracker, events));
        return call;
    }

    /**
     * Cancels a run.
     *
     * @param order the attempt
     * @param events receives one Cancelled event
     */
    public void cancel(AttemptOrder order, Consumer<DispatchEvent> events) {
        Request request = headers(order, order.upstream().address() + "/v1/requests/" + order.upstreamRequestId())
                .delete()
                .build();
        OkHttpClient client = http.client(order.upstream().name())
                .newBuilder()
                .callTimeout(CANCEL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                events.accept(new DispatchEvent.Cancelled(order.attempt(), Optional.empty()));
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    events.accept(new DispatchEvent.Cancelled(order.attempt(), usage(response)));
                }
            }
        });
    }

    private OkHttpClient client(AttemptOrder order) {
        return order.freshConnection()
                ? http.fresh()
                : http.client(order.upstream().name());
    }

    private static Request.Builder headers(AttemptOrder order, String url) {
        return new Request.Builder()
                .url(url)
                .header("X-Request-Id", order.upstreamRequestId())
                .header("X-Priority", Integer.toString(order.priority()))
                .header("X-Fence-Holder", order.holder().value())
                .header("X-Fence-Number", FIRST_FENCING_TOKEN);
    }

    private static Optional<Usage> usage(Response response) throws IOException {
        if (!response.isSuccessful()) {
            return Optional.empty();
        }
        JsonNode root = MAPPER.readTree(response.body().string());
        if (!root.path("output_tokens").isNumber()) {
            return Optional.empty();
        }
        return Optional.of(new Usage(
                root.path("prompt_tokens").asLong(), root.path("output_tokens").asLong()));
    }

    private final class StreamCallback implements Callback {
        private final int attempt;
        private final SendTracker tracker;
        private final Consumer<DispatchEvent> events;

        StreamCallback(int attempt, SendTracker tracker, Consumer<DispatchEvent> events) {
            this.attempt = attempt;
            this.tracker = tracker;
            this.events = events;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            events.accept(
                    tracker.isSent()
                            ? new DispatchEvent.ConnectionBroken(attempt, true)
                            : new DispatchEvent.ConnectFailed(attempt));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (response.isSuccessful()) {
                    readStream(response.body().source());
                    return;
                }
                String code = UpstreamErrors.code(response.body().string());
                events.accept(new DispatchEvent.Refused(
                        attempt, response.code(), code, UpstreamErrors.isDefiniteRefusal(response.code(), code)));
            } catch (IOException e) {
                events.accept(new DispatchEvent.ConnectionBroken(attempt, true));
            }
        }

        /** A stream that ends without its end marker was cut, also if the connection closed cleanly. */
        private void readStream(BufferedSource source) throws IOException {
            while (true) {
                String line = source.readUtf8Line();
                if (line == null) {
                    events.accept(new DispatchEvent.ConnectionBroken(attempt, true));
                    return;
                }
                if (line.startsWith(DATA_PREFIX) && read(MAPPER.readTree(line.substring(DATA_PREFIX.length())))) {
                    return;
                }
            }
        }

        private boolean read(JsonNode data) {
            if (data.path("done").asBoolean()) {
                events.accept(new DispatchEvent.Done(
                        attempt,
                        data.path("prompt_tokens").asLong(),
                        data.path("output_tokens").asLong()));
                return true;
            }
            if (data.path("cancelled").asBoolean()) {
                events.accept(new DispatchEvent.ConnectionBroken(attempt, true));
                return true;
            }
            if (data.path("start").asBoolean()) {
                events.accept(new DispatchEvent.Started(
                        attempt, data.path("prompt_tokens").asLong()));
                return false;
            }
            events.accept(new DispatchEvent.TokenReceived(
                    attempt, data.path("index").asLong(), data.path("text").asText(), clock.nowMs()));
            return false;
        }
    }
}
