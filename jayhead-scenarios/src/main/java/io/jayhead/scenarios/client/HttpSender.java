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

/** Sends HTTP requests without retries, so that each request of a scenario is sent only once. */
public final class HttpSender {

    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(40);
    private static final OkHttpClient SHORT_CLIENT = createClient(SHORT_TIMEOUT);
    private static final OkHttpClient CALLER_CLIENT = createClient(CALLER_TIMEOUT);

    private HttpSender() {}

    /**
     * Sends a request with a short timeout and reads the response as text.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET and DELETE
     * @return the response, with status 0 if none arrived
     */
    public static HttpReply send(String method, String url, Map<String, String> headers, String body) {
        return send(SHORT_CLIENT, method, url, headers, body);
    }

    /**
     * Sends a request with the longer timeout of a caller and reads the response as text.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET and DELETE
     * @return the response, with status 0 if none arrived
     */
    public static HttpReply sendWithCallerTimeout(String method, String url, Map<String, String> headers, String body) {
        return send(CALLER_CLIENT, method, url, headers, body);
    }

    /**
     * Sends a request as a caller and reads the answer to its end.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param headers the headers
     * @param body the body; ignored for GET and DELETE
     * @return the answer, complete or not
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

    private static OkHttpClient createClient(Duration timeout) {
        return new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                .connectTimeout(SHORT_TIMEOUT)
                .readTimeout(timeout)
                .callTimeout(timeout)
                .build();
    }
}
