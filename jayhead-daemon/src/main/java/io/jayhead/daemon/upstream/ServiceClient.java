package io.jayhead.daemon.upstream;

import io.jayhead.dispatch.DispatchEvent;
import java.io.IOException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Makes single calls to plain services and turns their answers into dispatch events. */
public final class ServiceClient {

    private static final MediaType JSON = MediaType.get("application/json");

    private static final int SERVER_ERROR = 500;

    private final UpstreamHttp http;

    /**
     * Creates the client.
     *
     * @param http the HTTP clients
     */
    public ServiceClient(UpstreamHttp http) {
        this.http = http;
    }

    /**
     * Makes a call.
     *
     * @param order the attempt
     * @param method GET or POST
     * @param path the path at the upstream
     * @param body the body of a POST
     * @param events receives one event on a traffic thread
     * @return the call, to be cancelled when the attempt is given up
     */
    public Call call(AttemptOrder order, String method, String path, byte[] body, Consumer<DispatchEvent> events) {
        RequestBody requestBody = "GET".equals(method) ? null : RequestBody.create(body, JSON);
        Request request = new Request.Builder()
                .url(order.upstream().address() + path)
                .header("X-Request-Id", order.upstreamRequestId())
                .header("X-Fence-Holder", order.holder().value())
                .header("X-Fence-Number", EngineClient.FIRST_FENCING_TOKEN)
                .method(method, requestBody)
                .build();
        SendTracker tracker = new SendTracker();
        OkHttpClient base = order.freshConnection()
                ? http.fresh()
                : http.client(order.upstream().name());
        Call call = base.newBuilder().eventListener(tracker).build().newCall(request);
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException e) {
                events.accept(
                        tracker.isSent()
                                ? new DispatchEvent.ConnectionBroken(order.attempt(), true)
                                : new DispatchEvent.ConnectFailed(order.attempt()));
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    events.accept(event(order.attempt(), response));
                } catch (IOException e) {
                    events.accept(new DispatchEvent.ConnectionBroken(order.attempt(), true));
                }
            }
        });
        return call;
    }

    private static DispatchEvent event(int attempt, Response response) throws IOException {
        String body = response.body().string();
        String code = UpstreamErrors.code(body);
        boolean definite = UpstreamErrors.isDefiniteRefusal(response.code(), code);
        if (definite || response.code() >= SERVER_ERROR) {
            return new DispatchEvent.Refused(attempt, response.code(), code, definite);
        }
        return new DispatchEvent.Answered(attempt, response.code(), body);
    }
}
