package io.jayhead.daemon.contract;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A model engine that answers each prompt with one token of fixed text and flushes its answer byte by byte. */
final class TextEngine implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String LOAD = "{\"queued\":0,\"running\":0,\"max_batch\":8,\"tokens_per_second\":0,"
            + "\"draining\":false,\"age_ms\":0,\"models\":[\"large-v3\"],\"adapters\":[]}";

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final String text;
    private final boolean cutsStream;
    private volatile String lastPrompt = "";

    private TextEngine(HttpServer server, String text, boolean cutsStream) {
        this.cutsStream = cutsStream;
        this.server = server;
        this.text = text;
    }

    static TextEngine start(String text) throws IOException {
        return start(text, false);
    }

    /** Starts an engine that ends the stream after its token without an end marker and cannot resume the request. */
    static TextEngine startBroken(String text) throws IOException {
        return start(text, true);
    }

    private static TextEngine start(String text, boolean cutsStream) throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        TextEngine engine = new TextEngine(HttpServer.create(address, 0), text, cutsStream);
        engine.server.setExecutor(engine.threads);
        engine.server.createContext("/v1/load", exchange -> send(exchange, "application/json", LOAD));
        engine.server.createContext("/v1/generate", engine::generate);
        engine.server.start();
        return engine;
    }

    String address() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns a fleet text in which engine-a has the address of this engine. */
    String replaceEngineA(String fleetText) {
        return fleetText.replaceFirst("(?s)(name: engine-a.*?address: )\\S+", "$1" + address());
    }

    String lastPrompt() {
        return lastPrompt;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void generate(HttpExchange exchange) throws IOException {
        lastPrompt = MAPPER.readTree(exchange.getRequestBody()).path("prompt").asText();
        send(
                exchange,
                "text/event-stream",
                "data: {\"start\":true,\"prompt_tokens\":3}\n\ndata: {\"index\":0,\"text\":\"" + text + "\"}\n\n"
                        + (cutsStream ? "" : "data: {\"done\":true,\"prompt_tokens\":3,\"output_tokens\":1}\n\n"));
    }

    private static void send(HttpExchange exchange, String type, String body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(200, 0);
        try (var out = exchange.getResponseBody()) {
            for (byte next : body.getBytes(StandardCharsets.UTF_8)) {
                out.write(next);
                out.flush();
            }
        }
    }
}
