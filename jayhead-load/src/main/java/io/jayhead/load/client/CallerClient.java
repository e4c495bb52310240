package io.jayhead.load.client;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.model.RequestKind;
import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends requests to routers over HTTP, as callers do. */
public final class CallerClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");

    /**
     * High enough that an open loop never waits for earlier requests; it only bounds the memory use of this process.
     */
    private static final int MAX_CONCURRENT_CALLS = 20_000;

    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final List<HttpUrl> routers;
    private final Map<String, String> apiKeys;
    private final OkHttpClient http;

    /**
     * Creates a client.
     *
     * @param routers the base addresses of the routers
     * @param apiKeys the API keys by organisation
     * @param silenceLimitMs the read timeout: the time without a byte after which a caller gives up
     */
    public CallerClient(List<String> routers, Map<String, String> apiKeys, long silenceLimitMs) {
        this.routers = routers.stream().map(HttpUrl::get).toList();
        this.apiKeys = Map.copyOf(apiKeys);
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
        this.http = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
                .retryOnConnectionFailure(false)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(silenceLimitMs, TimeUnit.MILLISECONDS)
                .build();
    }

    /**
     * Sends a request without waiting for the answer.
     *
     * <p>If a router refuses the connection, the request goes to the next router, as with the load balancer of the
     * platform. This is safe because nothing was sent yet. The time since the planned arrival keeps counting.
     *
     * @param planned the request
     * @param sinceArrivalNs returns the time since the planned arrival
     * @param receiver receives the outcome, usually on another thread
     */
    public void send(PlannedRequest planned, LongSupplier sinceArrivalNs, Consumer<Outcome> receiver) {
        send(planned, 0, sinceArrivalNs, receiver);
    }

    private void send(
            PlannedRequest planned, int refusedConnections, LongSupplier sinceArrivalNs, Consumer<Outcome> receiver) {
        http.newCall(request(planned, refusedConnections)).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                boolean refused = e instanceof ConnectException;
                if (refused && refusedConnections + 1 < routers.size()) {
                    send(planned, refusedConnections + 1, sinceArrivalNs, receiver);
                    return;
                }
                OutcomeType type = refused ? OutcomeType.UNREACHABLE : OutcomeType.BROKEN;
                String code = refused ? "connect_failed" : "no_answer";
                receiver.accept(Outcome.of(type, code, sinceArrivalNs.getAsLong()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                receiver.accept(new AnswerReader(planned, sinceArrivalNs).read(response));
            }
        });
    }

    @Override
    public void close() {
        http.dispatcher().cancelAll();
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private Request request(PlannedRequest planned, int refusedConnections) {
        HttpUrl router = routers.get((planned.router() + refusedConnections) % routers.size());
        HttpUrl.Builder url = router.newBuilder().addPathSegments("v1/services/" + planned.service());
        Request.Builder request = new Request.Builder()
                .header("Authorization", "Bearer " + apiKeys.getOrDefault(planned.organisation(), ""));
        if (planned.kind() == RequestKind.STATUS_READ) {
            return request.url(url.addPathSegment(planned.key()).build()).build();
        }
        if (planned.kind().isGeneration()) {
            request.header("Idempotency-Key", planned.key());
        }
        return request.url(url.build())
                .post(RequestBody.create(body(planned).toString(), JSON))
                .build();
    }

    private static ObjectNode body(PlannedRequest planned) {
        ObjectNode body = MAPPER.createObjectNode();
        if (planned.kind() == RequestKind.BOOKING) {
            return body.put("order", planned.key());
        }
        return body.put("prompt", planned.prompt())
                .put("max_tokens", planned.maxTokens())
                .put("stream", planned.shape().stream());
    }
}
