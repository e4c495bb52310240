package io.jayhead.daemon.upstream;

import io.jayhead.model.UpstreamName;
import io.jayhead.platform.AnswerGuard;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/** Holds an HTTP client with a separate connection pool for each upstream. */
public final class UpstreamHttpClients implements AutoCloseable {

    private static final int MAX_CALLS = 2_048;
    private static final int MAX_IDLE_CONNECTIONS = 16;
    private static final long IDLE_SECONDS = 60;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final OkHttpClient base;
    private final ConcurrentMap<UpstreamName, OkHttpClient> clients = new ConcurrentHashMap<>();

    /** Creates the holder; clients and connections are created on first use. */
    public UpstreamHttpClients() {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        // Dispatch ends silent calls by its own progress deadlines, so OkHttp must neither time out nor retry.
        base = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .addNetworkInterceptor(new AnswerGuard())
                .build();
    }

    /**
     * Returns the client of an upstream.
     *
     * @param upstream the upstream
     * @return the client
     */
    public OkHttpClient client(UpstreamName upstream) {
        return clients.computeIfAbsent(upstream, name -> newClient());
    }

    /**
     * Returns a new client with an empty connection pool, so that its first call opens a new connection.
     *
     * @return the client
     */
    public OkHttpClient freshClient() {
        return newClient();
    }

    /**
     * Replaces the connection pool of an upstream by an empty one; calls in flight are not affected.
     *
     * @param upstream the upstream
     */
    public void dropPool(UpstreamName upstream) {
        clients.put(upstream, newClient());
    }

    @Override
    public void close() {
        base.dispatcher().cancelAll();
        base.dispatcher().executorService().shutdown();
    }

    private OkHttpClient newClient() {
        return base.newBuilder()
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
                .build();
    }
}
