package io.jayhead.scenarios.client;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends HTTP requests without retries, so that one request of a scenario is one request on the wire. */
public final class HttpSender {

    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(40);
    private static final OkHttpClient SHORT_CLIENT = client(SHORT_TIMEOUT);
    private static final OkHttpClient CALLER_CLIENT = client(CALLER_TIMEOUT);

    private HttpSender() {}

    /**
     * Sends a request and reads the answer as text.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET
     * @return the answer
     */
    public static HttpReply send(String method, String url, Map<String, String> headers, String body) {
        return send(SHORT_CLIENT, method, url, headers, body);
    }

    /**
     * Sends a request that may take as long as a caller waits, and reads the answer as text.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET
     * @return the answer
     */
    public static HttpReply sendPatiently(String method, String url, Map<String, String> headers, String body) {
        return send(CALLER_CLIENT, method, url, headers, body);
    }

    /**
     * Sends a request as a caller and reads the whole answer.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET
     * @return what arrived
     */
    public static CallerAnswer call(String method, String url, Map<String, String> headers, String body) {
        try (Response response =
                CALLER_CLIENT.newCall(request(method, url, headers, body)).execute()) {
            return AnswerReader.read(response);
        } catch (IOException e) {
            return CallerAnswer.none(e.toString());
        }
    }

    private static HttpReply send(
            OkHttpClient client, String method, String url, Map<String, String> headers, String body) {
        try (Response response =
                client.newCall(request(method, url, headers, body)).execute()) {
            return new HttpReply(response.code(), response.body().string());
        } catch (IOException e) {
            return new HttpReply(0, e.toString());
        }
    }

    private static Request request(String method, String url, Map<String, String> headers, String body) {
        boolean withBody = !method.equals("GET") && !method.equals("DELETE");
        return new Request.Builder()
                .url(url)
                .headers(Headers.of(headers))
                .method(method, withBody ? RequestBody.create(body, null) : null)
                .build();
    }

    private static OkHttpClient client(Duration timeout) {
        return new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                .connectTimeout(SHORT_TIMEOUT)
                .readTimeout(timeout)
                .callTimeout(timeout)
                .build();
    }
}
