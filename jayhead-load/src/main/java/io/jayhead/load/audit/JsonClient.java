package io.jayhead.load.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Set;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads JSON documents with HTTP GET and retries while the server is busy. */
final class JsonClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Temporary: the platform answers 429 to reads above its rate limit, and a router then answers 503. */
    private static final Set<Integer> BUSY_STATUS = Set.of(429, 503);

    private static final int MAX_ATTEMPTS = 20;
    private static final long RETRY_PAUSE_MS = 300;

    private final OkHttpClient http =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();

    JsonNode read(HttpUrl url, String credential) {
        Request.Builder request = new Request.Builder().url(url);
        if (!credential.isEmpty()) {
            request.header("Authorization", "Bearer " + credential);
        }
        for (int attempt = 1; ; attempt++) {
            try (Response response = http.newCall(request.build()).execute()) {
                if (response.isSuccessful()) {
                    return MAPPER.readTree(response.body().string());
                }
                if (!BUSY_STATUS.contains(response.code()) || attempt == MAX_ATTEMPTS) {
                    throw new IllegalStateException("GET " + url + " answered " + response.code());
                }
                Thread.sleep(RETRY_PAUSE_MS);
            } catch (IOException e) {
                throw new UncheckedIOException("GET " + url + " failed", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("GET " + url + " was interrupted", e);
            }
        }
    }
}
