package io.jayhead.daemon.upstream;

import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.NotRunStatus;
import io.jayhead.platform.BoundedBody;
import java.io.IOException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Calls plain services and turns their answers into dispatch events. */
public final class PlainServiceClient {

    private static final MediaType JSON = MediaType.get("application/json");

    private static final int SERVER_ERROR = 500;

    private final UpstreamHttpClients http;

    /**
     * Creates the client.
     *
     * @param http the HTTP clients
     */
    public PlainServiceClient(UpstreamHttpClients http) {
        this.http = http;
    }

    /**
     * Sends one call.
     *
     * @param attempt the attempt
     * @param method GET or POST
     * @param path the path at the upstream, with a leading slash
     * @param body the JSON body of a POST; ignored for a GET
     * @param events receives one event on a traffic thread
     * @return the call, to be cancelled when the attempt is abandoned
     */
    public Call call(AttemptRequest attempt, String method, String path, byte[] body, Consumer<DispatchEvent> events) {
        RequestBody requestBody = "GET".equals(method) ? null : RequestBody.create(body, JSON);
        Request request = new Request.Builder()
                .url(attempt.upstream().address() + path)
                .header("X-Request-Id", attempt.upstreamRequestId())
                .header("X-Fence-Holder", attempt.holder().value())
                .header("X-Fence-Number", EngineClient.FIRST_FENCING_TOKEN)
                .method(method, requestBody)
                .build();
        SendTracker tracker = new SendTracker();
        OkHttpClient client = attempt.freshConnection()
                ? http.freshClient()
                : http.client(attempt.upstream().name());
        Call call = client.newBuilder().eventListener(tracker).build().newCall(request);
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException e) {
                events.accept(
                        tracker.isSent()
                                ? new DispatchEvent.ConnectionBroken(attempt.number(), true)
                                : new DispatchEvent.ConnectFailed(attempt.number()));
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    events.accept(toEvent(attempt.number(), response));
                } catch (IOException e) {
                    events.accept(new DispatchEvent.ConnectionBroken(attempt.number(), true));
                }
            }
        });
        return call;
    }

    private static DispatchEvent toEvent(int attemptNumber, Response response) throws IOException {
        String body = BoundedBody.text(response.body(), BoundedBody.MAX_ANSWER_BYTES);
        String code = UpstreamErrors.code(body);
        int status = response.code();
        boolean didNotRun = UpstreamErrors.isDefiniteRefusal(status, code);
        if (didNotRun || status >= SERVER_ERROR || NotRunStatus.matches(status)) {
            return new DispatchEvent.Refused(attemptNumber, status, code, didNotRun);
        }
        return new DispatchEvent.Answered(attemptNumber, status, body);
    }
}
