package io.jayhead.edge;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Verdict;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Serves version 1 of the HTTP interface for callers. */
public final class CallerServer implements AutoCloseable {

    private static final int MAX_REQUEST_BYTES = 4 * 1024 * 1024;

    /** The index of the sub-path when {@code /v1/services/SERVICE/SUBPATH} is split at its slashes. */
    private static final int SUB_PATH_INDEX = 4;

    private final Server server;

    private CallerServer(Server server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on
     * @param handler serves the requests
     * @return the running server
     */
    public static CallerServer start(InetSocketAddress address, CallerHandler handler) {
        Jooby app = new Jooby();
        app.post("/v1/services/{service}", context -> serve(context, handler));
        app.get("/v1/services/{service}/*path", context -> serve(context, handler));
        app.error((context, cause, status) -> fail(context, cause, status));
        return new CallerServer(startApplication(app, address));
    }

    /**
     * Starts a Jooby application on its own Netty server. Its handlers run on I/O threads and must not block.
     *
     * @param app the application
     * @param address the address to listen on
     * @return the running server
     */
    public static Server startApplication(Jooby app, InetSocketAddress address) {
        ServerOptions options = new ServerOptions();
        options.setHost(address.getAddress().getHostAddress());
        options.setPort(address.getPort());
        options.setMaxRequestSize(MAX_REQUEST_BYTES);
        options.setDefaultHeaders(false);
        Server server = new NettyServer().setOptions(options);
        app.setExecutionMode(ExecutionMode.EVENT_LOOP);
        app.setStartupSummary(List.of(StartupSummary.NONE));
        server.start(app);
        return server;
    }

    @Override
    public void close() {
        server.stop();
    }

    private static Context serve(Context context, CallerHandler handler) {
        boolean hasBody = "POST".equals(context.getMethod());
        CallerRequest request = new CallerRequest(
                context.getMethod(),
                context.path("service").value(),
                hasBody ? "" : subPath(context.getRequestPath()),
                context.headerMap(),
                hasBody ? context.body().bytes() : new byte[0]);
        handler.handle(request, JoobyResponse.of(context));
        return context;
    }

    /** Returns the path after the service, still encoded, as decoding would turn an encoded slash into a separator. */
    private static String subPath(String path) {
        String[] parts = path.split("/", SUB_PATH_INDEX + 1);
        return parts.length > SUB_PATH_INDEX ? parts[SUB_PATH_INDEX] : "";
    }

    private static void fail(Context context, Throwable cause, StatusCode status) {
        ErrorCode code = errorCode(status);
        String body =
                ErrorBody.of(code, Verdict.notRun(NotRunProof.BEFORE_DISPATCH), String.valueOf(cause.getMessage()), "");
        context.setResponseCode(status);
        context.setResponseType("application/json");
        context.send(body.getBytes(StandardCharsets.UTF_8));
    }

    private static ErrorCode errorCode(StatusCode status) {
        if (status.value() == StatusCode.NOT_FOUND_CODE) {
            return ErrorCode.NOT_FOUND;
        }
        return status.value() >= StatusCode.SERVER_ERROR_CODE ? ErrorCode.INTERNAL : ErrorCode.INVALID_REQUEST;
    }
}
