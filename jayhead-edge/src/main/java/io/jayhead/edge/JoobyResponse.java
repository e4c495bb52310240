package io.jayhead.edge;

import io.jooby.Context;
import io.jooby.Sender;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Sends responses through Jooby on Netty. */
final class JoobyResponse implements CallerResponse {

    private static final String HTTP_1_0 = "HTTP/1.0";

    private final Context context;
    private final Channel channel;
    private final List<ChannelFutureListener> closeListeners = new ArrayList<>();
    private Sender sender;

    private JoobyResponse(Context context, Channel channel) {
        this.context = context;
        this.channel = channel;
    }

    static JoobyResponse of(Context context) {
        return new JoobyResponse(context, channelOf(context));
    }

    @Override
    public void send(int status, String contentType, byte[] body) {
        removeCloseListeners();
        context.setResponseCode(status);
        context.setResponseType(contentType);
        context.send(body);
    }

    @Override
    public void setHeader(String name, String value) {
        context.setResponseHeader(name, value);
    }

    @Override
    public void startStream() {
        context.setResponseCode(200);
        context.setResponseHeader("Content-Type", "text/event-stream");
        context.setResponseHeader("Cache-Control", "no-cache");
        if (HTTP_1_0.equals(context.getProtocol())) {
            ChunkedEncodingRemover.install(channel);
        }
        sender = context.responseSender();
    }

    @Override
    public void sendEvent(String event, String data) {
        String text = "event: " + event + "\ndata: " + data + "\n\n";
        sender.write(text.getBytes(StandardCharsets.UTF_8), (writeContext, failure) -> {
            if (failure != null) {
                channel.close();
            }
        });
    }

    @Override
    public void endStream() {
        removeCloseListeners();
        sender.close();
    }

    @Override
    public void abort() {
        removeCloseListeners();
        // Closes after the writes that are already queued, so that an error event still reaches the caller.
        channel.eventLoop()
                .execute(() -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> channel.close()));
    }

    @Override
    public void onClose(Runnable action) {
        ChannelFutureListener listener = future -> action.run();
        closeListeners.add(listener);
        channel.closeFuture().addListener(listener);
    }

    /** Removes this request's listeners, as a connection outlives its requests and would keep them reachable. */
    private void removeCloseListeners() {
        closeListeners.forEach(channel.closeFuture()::removeListener);
        closeListeners.clear();
    }

    /**
     * Returns the Netty channel of a request. It is read from a private field of the context, because Jooby's API can
     * neither close a connection without ending the chunked response nor report that a caller disconnected.
     */
    private static Channel channelOf(Context context) {
        try {
            Field field = context.getClass().getDeclaredField("ctx");
            field.setAccessible(true);
            return ((ChannelHandlerContext) field.get(context)).channel();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read the Netty channel from field ctx of the Jooby context", e);
        }
    }
}
