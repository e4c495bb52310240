package io.jayhead.edge;

import io.jooby.Context;
import io.jooby.Sender;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;

/** Sends answers through Jooby on Netty. */
final class JoobyResponse implements CallerResponse {

    private final Context context;
    private final Channel channel;
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
        context.setResponseCode(status);
        context.setResponseType(contentType);
        context.send(body);
    }

    @Override
    public void startStream() {
        context.setResponseCode(200);
        context.setResponseHeader("Content-Type", "text/event-stream");
        context.setResponseHeader("Cache-Control", "no-cache");
        sender = context.responseSender();
    }

    @Override
    public void event(String event, String data) {
        String text = "event: " + event + "\ndata: " + data + "\n\n";
        sender.write(text.getBytes(StandardCharsets.UTF_8), (ctx, failure) -> {
            if (failure != null) {
                channel.close();
            }
        });
    }

    @Override
    public void endStream() {
        sender.close();
    }

    @Override
    public void abort() {
        // Queued behind the writes that precede it, so that an error event still reaches the caller.
        channel.eventLoop()
                .execute(() -> channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
                        .addListener(future -> channel.close()));
    }

    @Override
    public void onClose(Runnable action) {
        channel.closeFuture().addListener(future -> action.run());
    }

    /**
     * Returns the Netty channel of a request. Jooby offers no way to close a connection without ending the chunked
     * answer, and no notice of a caller that goes away, so the channel is read from its context.
     */
    private static Channel channelOf(Context context) {
        try {
            Field field = context.getClass().getDeclaredField("ctx");
            field.setAccessible(true);
            return ((ChannelHandlerContext) field.get(context)).channel();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this version of Jooby keeps its Netty channel elsewhere", e);
        }
    }
}
