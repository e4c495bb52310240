package io.jayhead.gateway.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Answers the readiness check and serves the metrics. */
public final class StatusServer {

    /** The path of the metrics page. */
    public static final String METRICS_PATH = "/metrics";

    private static final int MAX_REQUEST_BYTES = 8_192;

    private final String readinessPath;
    private final BooleanSupplier ready;
    private final Supplier<byte[]> metrics;

    /**
     * Creates a server that does not listen yet.
     *
     * @param readinessPath the path of the readiness check
     * @param ready tells whether the router accepts connections
     * @param metrics returns the metrics page in UTF-8
     */
    public StatusServer(String readinessPath, BooleanSupplier ready, Supplier<byte[]> metrics) {
        this.readinessPath = readinessPath;
        this.ready = ready;
        this.metrics = metrics;
    }

    /**
     * Starts to listen and returns when the address is bound.
     *
     * @param group accepts and serves connections
     * @param address the address on which to listen
     */
    public void listen(EventLoopGroup group, InetSocketAddress address) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new Handler());
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private FullHttpResponse answerTo(String path) {
        if (path.equals(readinessPath)) {
            return answer(ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
        }
        if (path.equals(METRICS_PATH)) {
            return new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.get()));
        }
        return answer(HttpResponseStatus.NOT_FOUND, "");
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    /** Answers the requests of one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = answerTo(request.uri());
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
                return;
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
