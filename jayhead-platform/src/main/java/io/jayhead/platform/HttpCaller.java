package io.jayhead.platform;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Sends HTTP calls asynchronously and reports every failure as an {@link HttpAnswer}. */
final class HttpCaller implements AutoCloseable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Maximum of concurrent calls; OkHttp's default of 5 per host would queue charges behind budget updates. */
    private static final int MAX_CALLS = 64;

    private final OkHttpClient client;
    private final CallCounters counters;

    HttpCaller(long connectMs, CallCounters counters) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        this.counters = counters;
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool())
                // OkHttp's own retry of a write could report a conflict with its first attempt.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectTimeout(connectMs, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .eventListenerFactory(SendProgress::of)
                .addNetworkInterceptor(new AnswerGuard())
                .build();
    }

    CompletableFuture<HttpAnswer> send(CallKind kind, Request.Builder builder, long timeoutMs) {
        SendProgress progress = new SendProgress();
        Request request = builder.tag(SendProgress.class, progress).build();
        Call call = client.newCall(request);
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS);
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        counters.countCall(kind);
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException cause) {
                finish(kind, HttpAnswer.failed(cause.toString(), progress.started()), result);
            }

            @Override
            public void onResponse(Call answered, Response response) {
                finish(kind, HttpAnswer.of(response), result);
            }
        });
        return result;
    }

    private void finish(CallKind kind, HttpAnswer answer, CompletableFuture<HttpAnswer> result) {
        if (answer.countsAsFailure()) {
            counters.countFailure(kind);
            LOG.atFine().log("platform call %s failed: %s", kind.label(), answer.describe());
        }
        if (!answer.complete()) {
            // The idle connections may be dead too, so the next call opens a new one.
            client.connectionPool().evictAll();
        }
        result.complete(answer);
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
