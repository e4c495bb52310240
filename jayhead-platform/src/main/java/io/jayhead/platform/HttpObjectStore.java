package io.jayhead.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** Calls the platform's object API and reads its VM list over HTTP. */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

    private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");
    private static final int STATUS_NOT_FOUND = 404;
    private static final int PAGE_LIMIT = 100;

    private final HttpUrl address;
    private final PlatformTimeouts timeouts;
    private final CallCounters counters;
    private final HttpCaller calls;
    private final HttpCaller watches;

    /**
     * Creates a client.
     *
     * @param address the base URL of the platform
     * @param timeouts the timeouts
     * @param counters the counters that record every call
     * @throws IllegalArgumentException if the address is not an HTTP URL
     */
    public HttpObjectStore(String address, PlatformTimeouts timeouts, CallCounters counters) {
        this.address = HttpUrl.get(address);
        this.timeouts = timeouts;
        this.counters = counters;
        this.calls = new HttpCaller(timeouts.connectMs(), counters);
        this.watches = new HttpCaller(timeouts.connectMs(), counters);
    }

    /**
     * Returns the counters of calls.
     *
     * @return the counters
     */
    public CallCounters counters() {
        return counters;
    }

    @Override
    public CompletableFuture<ReadResult> read(String kind, String name) {
        return call(CallKind.READ, new Request.Builder().url(objectUrl(kind, name)))
                .thenApply(answer -> readResult(name, answer));
    }

    @Override
    public CompletableFuture<WriteResult> create(String kind, String name, String body) {
        return call(CallKind.CREATE, put(kind, name, body).header("If-None-Match", "*"))
                .thenApply(WriteAnswers::ofPut);
    }

    @Override
    public CompletableFuture<WriteResult> update(String kind, String name, long expectedVersion, String body) {
        return call(CallKind.UPDATE, put(kind, name, body).header("If-Match", entityTag(expectedVersion)))
                .thenApply(WriteAnswers::ofPut);
    }

    @Override
    public CompletableFuture<WriteResult> delete(String kind, String name, long expectedVersion) {
        Request.Builder request = new Request.Builder()
                .url(objectUrl(kind, name))
                .delete()
                .header("If-Match", entityTag(expectedVersion));
        return call(CallKind.DELETE, request).thenApply(WriteAnswers::ofDelete);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String prefix) {
        return listAfter(kind, prefix, "", -1, new ArrayList<>());
    }

    @Override
    public CompletableFuture<WatchResult> watch(String kind, long sinceRevision, long waitMs) {
        HttpUrl url = url("watch", kind)
                .addQueryParameter("since", Long.toString(sinceRevision))
                .addQueryParameter("wait_ms", Long.toString(waitMs))
                .build();
        return watches.send(CallKind.WATCH, new Request.Builder().url(url), waitMs + timeouts.watchMarginMs())
                .thenApply(answer -> parsed(answer, JsonAnswers::watch, WatchResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<VmListResult> listVms() {
        return call(CallKind.VMS, new Request.Builder().url(url("vms").build()))
                .thenApply(answer -> parsed(answer, JsonAnswers::vms, VmListResult.Unavailable::new));
    }

    @Override
    public void close() {
        calls.close();
        watches.close();
    }

    private CompletableFuture<ListResult> listAfter(
            String kind, String prefix, String after, long revision, List<StoredObject> collected) {
        HttpUrl url = url("objects", kind)
                .addQueryParameter("prefix", prefix)
                .addQueryParameter("after", after)
                .addQueryParameter("limit", Integer.toString(PAGE_LIMIT))
                .build();
        return call(CallKind.LIST, new Request.Builder().url(url))
                .thenApply(answer -> this.<ListResult>parsed(answer, JsonAnswers::list, ListResult.Unavailable::new))
                .thenCompose(page -> {
                    if (!(page instanceof ListResult.Listed listed)) {
                        return CompletableFuture.completedFuture(page);
                    }
                    long firstRevision = revision < 0 ? listed.revision() : revision;
                    collected.addAll(listed.objects());
                    if (listed.objects().size() < PAGE_LIMIT) {
                        return CompletableFuture.completedFuture(new ListResult.Listed(firstRevision, collected));
                    }
                    String last = collected.get(collected.size() - 1).name();
                    return listAfter(kind, prefix, last, firstRevision, collected);
                });
    }

    private CompletableFuture<HttpAnswer> call(CallKind kind, Request.Builder request) {
        return calls.send(kind, request, timeouts.callMs());
    }

    private Request.Builder put(String kind, String name, String body) {
        return new Request.Builder().url(objectUrl(kind, name)).put(RequestBody.create(body, TEXT));
    }

    private HttpUrl objectUrl(String kind, String name) {
        return url("objects", kind, name).build();
    }

    private HttpUrl.Builder url(String... segments) {
        HttpUrl.Builder builder = address.newBuilder().addPathSegment("v1");
        for (String segment : segments) {
            builder.addPathSegment(segment);
        }
        return builder;
    }

    private static String entityTag(long version) {
        return "\"" + version + "\"";
    }

    private static ReadResult readResult(String name, HttpAnswer answer) {
        if (answer.complete() && answer.status() == STATUS_NOT_FOUND) {
            return new ReadResult.Missing();
        }
        if (!answer.complete() || !answer.successful() || answer.version() < 0) {
            return new ReadResult.Unavailable(answer.describe());
        }
        return new ReadResult.Found(new StoredObject(name, answer.version(), answer.body()));
    }

    private <T> T parsed(HttpAnswer answer, Parser<? extends T> parser, Function<String, ? extends T> unavailable) {
        if (!answer.complete() || !answer.successful()) {
            return unavailable.apply(answer.describe());
        }
        try {
            return parser.parse(answer.body());
        } catch (IOException | IllegalArgumentException e) {
            return unavailable.apply("unreadable answer: " + e.getMessage());
        }
    }

    private interface Parser<T> {
        T parse(String body) throws IOException;
    }
}
