package io.jayhead.load.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads JSON documents by GET. */
final class JsonGet {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final OkHttpClient http =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();

    JsonNode read(HttpUrl url, String credential) {
        Request.Builder request = new Request.Builder().url(url);
        if (!credential.isEmpty()) {
            request.header("Authorization", "Bearer " + credential);
        }
        try (Response response = http.newCall(request.build()).execute()) {
            if (!response.isSuccessful()) {
                throw new IllegalStateException("GET " + url + " answered " + response.code());
            }
            return MAPPER.readTree(response.body().string());
        } catch (IOException e) {
            throw new UncheckedIOException("GET " + url + " failed", e);
        }
    }
}
