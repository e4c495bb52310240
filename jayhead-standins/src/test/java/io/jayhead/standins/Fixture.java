package io.jayhead.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.standins.http.Json;
import io.jayhead.standins.http.StandinServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.ConnectionPool;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

final class Fixture implements AutoCloseable {

    record Answer(int status, Headers headers, String body) {
        JsonNode json() {
            return Json.read(body, JsonNode.class);
        }

        List<JsonNode> events() {
            return body.lines()
                    .filter(line -> line.startsWith("data: "))
                    .map(line -> Json.read(line.substring("data: ".length()), JsonNode.class))
                    .toList();
        }
    }

    final AtomicInteger exitStatus = new AtomicInteger();
    final StandinServer server;
    final OkHttpClient client;

    private Fixture(Duration callTimeout, String... arguments) {
        server = StandinsMain.start(exitStatus::set, arguments);
        client = new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .connectionPool(new ConnectionPool())
                .callTimeout(callTimeout)
                .build();
    }

    static Fixture of(String... arguments) {
        return new Fixture(Duration.ofSeconds(10), arguments);
    }

    static Fixture withCallTimeout(Duration callTimeout, String... arguments) {
        return new Fixture(callTimeout, arguments);
    }

    Answer get(String path) {
        return call("GET", path, null);
    }

    Answer post(String path, String body, String... headers) {
        return call("POST", path, body, headers);
    }

    Answer fault(String json) {
        return post("/faults", json);
    }

    Answer call(String method, String path, String body, String... headers) {
        try (Response response =
                client.newCall(request(method, path, body, headers)).execute()) {
            return new Answer(
                    response.code(), response.headers(), response.body().string());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Request request(String method, String path, String body, String... headers) {
        RequestBody requestBody = body == null ? null : RequestBody.create(body.getBytes());
        Request.Builder request =
                new Request.Builder().url(server.address() + path).method(method, requestBody);
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return request.build();
    }

    @Override
    public void close() {
        server.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
