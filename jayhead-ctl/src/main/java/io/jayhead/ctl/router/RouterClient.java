package io.jayhead.ctl.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;

/** Sends requests to the operator interface of routers, without retries. */
public final class RouterClient {

    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Enough for a fleet text of 900,000 bytes even if JSON escapes every byte as six characters. */
    private static final long MAX_ANSWER_BYTES = 8_000_000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client;
    private final String credential;

    /**
     * Creates a client.
     *
     * @param credential the operators' credential, sent as a bearer token
     * @param timeout the longest time that one request may take
     */
    public RouterClient(String credential, Duration timeout) {
        this.credential = credential;
        // Only the calling code may repeat a write, because only it knows whether that is safe.
        // A redirect could send the credential to another host.
        this.client = new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(timeout)
                .callTimeout(timeout)
                .eventListener(new SentFlag.Listener())
                .build();
    }

    /**
     * Sends one request.
     *
     * @param router the address of the router
     * @param request the request
     * @return the router's answer, or why there is none
     */
    public Reply send(HttpUrl router, OperatorRequest request) {
        SentFlag sentFlag = new SentFlag();
        Request httpRequest = new Request.Builder()
                .url(url(router, request.path()))
                .header("Authorization", "Bearer " + credential)
                .method(request.method(), request.body().map(this::encode).orElse(null))
                .tag(SentFlag.class, sentFlag)
                .build();
        try (Response response = client.newCall(httpRequest).execute()) {
            return decode(response);
        } catch (IOException e) {
            // Other pooled connections may be open but dead, while a new connection would work.
            client.connectionPool().evictAll();
            return new Reply.NoAnswer(sentFlag.isSent(), e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    private static HttpUrl url(HttpUrl router, List<String> path) {
        HttpUrl.Builder url = router.newBuilder().addPathSegments("operator/v1");
        path.forEach(url::addPathSegment);
        return url.build();
    }

    private RequestBody encode(JsonNode body) {
        return RequestBody.create(body.toString(), JSON);
    }

    private Reply decode(Response response) throws IOException {
        ResponseBody body = response.body();
        if (body.source().request(MAX_ANSWER_BYTES + 1)) {
            return new Reply.NoAnswer(true, "an answer of more than " + MAX_ANSWER_BYTES + " bytes");
        }
        try {
            return new Reply.Answer(response.code(), mapper.readTree(body.string()));
        } catch (JsonProcessingException e) {
            return response.isSuccessful()
                    ? new Reply.NoAnswer(true, "an answer that is not JSON")
                    : new Reply.Answer(response.code(), MissingNode.getInstance());
        }
    }
}
