package io.jayhead.daemon.recovery;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.daemon.upstream.UpstreamHttpClients;
import io.jayhead.model.IncarnationId;
import io.jayhead.platform.BoundedBody;
import io.jayhead.settlement.charge.ChargeEntry;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Raises the fencing tokens of lost routers at upstreams, which then refuse requests with a lower token. */
public final class FenceClient {

    private static final MediaType JSON = MediaType.get("application/json");
    private static final long TIMEOUT_MS = 3_000;

    private final UpstreamHttpClients http;

    /**
     * Creates the client.
     *
     * @param http the HTTP clients
     */
    public FenceClient(UpstreamHttpClients http) {
        this.http = http;
    }

    /**
     * Raises the fencing token of a holder at an upstream. The upstream cancels the holder's running requests and
     * refuses its later ones.
     *
     * @param address the base URL of the upstream
     * @param holder the lost router incarnation
     * @param number the new fencing token
     * @return the charges of the holder's requests at the upstream, or empty if the upstream failed, did not answer in
     *     time or sent an answer that cannot be charged completely
     */
    public CompletableFuture<Optional<List<ChargeEntry>>> raise(String address, IncarnationId holder, long number) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("holder", holder.value());
        body.put("number", number);
        Request request = new Request.Builder()
                .url(address + "/v1/fence")
                .post(RequestBody.create(body.toString(), JSON))
                .build();
        OkHttpClient client = http.freshClient()
                .newBuilder()
                .callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .build();
        CompletableFuture<Optional<List<ChargeEntry>>> charges = new CompletableFuture<>();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                charges.complete(Optional.empty());
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    charges.complete(
                            response.isSuccessful()
                                    ? RecoveredCharges.parse(
                                            holder, BoundedBody.text(response.body(), BoundedBody.MAX_ANSWER_BYTES))
                                    : Optional.empty());
                } catch (IOException e) {
                    charges.complete(Optional.empty());
                }
            }
        });
        return charges;
    }
}
