package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.dispatch.Usage;
import io.jayhead.dispatch.forward.EventFramer;
import io.jayhead.dispatch.forward.StreamEvent;
import io.jayhead.platform.BoundedBody;
import java.io.IOException;
import java.util.List;
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
import okio.Buffer;
import okio.BufferedSource;

/** Runs generations on model engines and turns their answers into dispatch events. */
public final class EngineClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long READ_BYTES = 8_192;
    private static final long CANCEL_TIMEOUT_MS = 900;

    /** The fencing token that an incarnation sends; a reclaim raises the token of its holder to 2. */
    static final String FIRST_FENCING_TOKEN = "1";

    private final UpstreamHttpClients http;
    private final HybridClock clock;

    /**
     * Creates the client.
     *
     * @param http the HTTP clients
     * @param clock the clock
     */
    public EngineClient(UpstreamHttpClients http, HybridClock clock) {
        this.http = http;
        this.clock = clock;
    }

    /**
     * Starts a run, or resumes the stream of a run.
     *
     * @param attempt the attempt
     * @param model the name by which engines know the model
     * @param prompt the prompt
     * @param maxTokens the maximum number of output tokens
     * @param events receives the events of the attempt on a traffic thread
     * @return the call, to be cancelled when the attempt is abandoned
     */
    public Call generate(
            AttemptRequest attempt, String model, String prompt, long maxTokens, Consumer<DispatchEvent> events) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model);
        body.put("prompt", prompt);
        body.put("max_tokens", maxTokens);
        String address = attempt.upstream().address();
        Request request = attempt.resumeFromIndex() == 0
                ? headers(attempt, address + "/v1/generate")
                        .post(RequestBody.create(body.toString(), JSON))
                        .build()
                : headers(
                                attempt,
                                address + "/v1/requests/" + attempt.upstreamRequestId() + "/stream?from="
                                        + attempt.resumeFromIndex())
                        .build();
        SendTracker tracker = new SendTracker();
        OkHttpClient client =
                client(attempt).newBuilder().eventListener(tracker).build();
        Call call = client.newCall(request);
        call.enqueue(new StreamCallback(attempt.number(), tracker, events));
        return call;
    }

    /**
     * Cancels a run at its engine.
     *
     * @param attempt the attempt
     * @param events receives one {@code Cancelled} event; its usage is empty if the engine did not report it
     */
    public void cancel(AttemptRequest attempt, Consumer<DispatchEvent> events) {
        Request request = headers(attempt, attempt.upstream().address() + "/v1/requests/" + attempt.upstreamRequestId())
                .delete()
                .build();
        OkHttpClient client = http.client(attempt.upstream().name())
                .newBuilder()
                .callTimeout(CANCEL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                events.accept(new DispatchEvent.Cancelled(attempt.number(), Optional.empty()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                events.accept(new DispatchEvent.Cancelled(attempt.number(), usage(response)));
            }
        });
    }

    private OkHttpClient client(AttemptRequest attempt) {
        return attempt.freshConnection()
                ? http.freshClient()
                : http.client(attempt.upstream().name());
    }

    private static Request.Builder headers(AttemptRequest attempt, String url) {
        return new Request.Builder()
                .url(url)
                .header("X-Request-Id", attempt.upstreamRequestId())
                .header("X-Priority", Integer.toString(attempt.priority()))
                .header("X-Fence-Holder", attempt.holder().value())
                .header("X-Fence-Number", FIRST_FENCING_TOKEN);
    }

    /** Reads the report of a cancellation; empty if the engine refused it or its report is unreadable or cut off. */
    private static Optional<Usage> usage(Response response) {
        try (response) {
            if (!response.isSuccessful()) {
                return Optional.empty();
            }
            JsonNode root = MAPPER.readTree(BoundedBody.text(response.body(), BoundedBody.MAX_REPORT_BYTES));
            return root.path("output_tokens").isNumber()
                    ? Optional.of(new Usage(
                            root.path("prompt_tokens").asLong(),
                            root.path("output_tokens").asLong()))
                    : Optional.empty();
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }

    private final class StreamCallback implements Callback {
        private final int attemptNumber;
        private final SendTracker tracker;
        private final Consumer<DispatchEvent> events;

        StreamCallback(int attemptNumber, SendTracker tracker, Consumer<DispatchEvent> events) {
            this.attemptNumber = attemptNumber;
            this.tracker = tracker;
            this.events = events;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            events.accept(
                    tracker.isSent()
                            ? new DispatchEvent.ConnectionBroken(attemptNumber, true)
                            : new DispatchEvent.ConnectFailed(attemptNumber));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (response.isSuccessful()) {
                    readStream(response.body().source());
                    return;
                }
                String code = UpstreamErrors.code(BoundedBody.text(response.body(), BoundedBody.MAX_REPORT_BYTES));
                events.accept(new DispatchEvent.Refused(
                        attemptNumber, response.code(), code, UpstreamErrors.isDefiniteRefusal(response.code(), code)));
            } catch (IOException e) {
                events.accept(new DispatchEvent.ConnectionBroken(attemptNumber, true));
            }
        }

        /**
         * Reads events up to the end marker; a stream without it was cut off, even if the connection closed cleanly. A
         * part of an event is none, so a stream that ends inside its end marker was cut off too.
         */
        private void readStream(BufferedSource source) throws IOException {
            EventFramer framer = new EventFramer();
            Buffer received = new Buffer();
            while (!framer.isTooLong() && source.read(received, READ_BYTES) >= 0) {
                if (readAll(framer.add(received.readByteArray()))) {
                    return;
                }
            }
            if (!readAll(framer.end().stream().toList())) {
                events.accept(new DispatchEvent.ConnectionBroken(attemptNumber, true));
            }
        }

        /** Returns whether one of the events ends the attempt. */
        private boolean readAll(List<StreamEvent> complete) throws IOException {
            for (StreamEvent event : complete) {
                String data = event.data();
                if (!data.isBlank() && read(MAPPER.readTree(data))) {
                    return true;
                }
            }
            return false;
        }

        private boolean read(JsonNode data) {
            if (data.path("done").asBoolean()) {
                events.accept(new DispatchEvent.Done(
                        attemptNumber,
                        data.path("prompt_tokens").asLong(),
                        data.path("output_tokens").asLong()));
                return true;
            }
            if (data.path("cancelled").asBoolean()) {
                events.accept(new DispatchEvent.ConnectionBroken(attemptNumber, true));
                return true;
            }
            if (data.path("start").asBoolean()) {
                events.accept(new DispatchEvent.Started(
                        attemptNumber, data.path("prompt_tokens").asLong()));
                return false;
            }
            if (!data.path("index").isIntegralNumber()) {
                // An event that this router does not know is no token.
                return false;
            }
            events.accept(new DispatchEvent.TokenReceived(
                    attemptNumber,
                    data.path("index").asLong(),
                    data.path("text").asText(),
                    clock.nowMs()));
            return false;
        }
    }
}
