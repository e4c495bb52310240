package io.jayhead.gateway.edge;

import io.jayhead.admission.memory.HoldingPhase;
import io.jayhead.gateway.memory.ChargedHeaders;
import io.jayhead.gateway.memory.ConnectionMemory;
import io.jayhead.gateway.memory.ProcessMemory;
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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Answers the readiness check and serves the metrics. */
public final class StatusServer {

    /** The path of the metrics page. */
    public static final String METRICS_PATH = "/metrics";

    private static final int MAX_REQUEST_BYTES = 8_192;
    private static final int MAX_CONNECTIONS = 64;
    private static final int IDLE_LIMIT_S = 60;

    private final String readinessPath;
    private final BooleanSupplier ready;
    private final Supplier<byte[]> metrics;
    private final ProcessMemory process;
    private final ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);

    /**
     * Creates a server that does not listen yet.
     *
     * @param readinessPath the path of the readiness check
     * @param ready tells whether the router accepts connections
     * @param metrics returns the metrics page in UTF-8
     * @param process the account of the memory that connections hold
     */
    public StatusServer(String readinessPath, BooleanSupplier ready, Supplier<byte[]> metrics, ProcessMemory process) {
        this.readinessPath = readinessPath;
        this.ready = ready;
        this.metrics = metrics;
        this.process = process;
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
                        initConnection(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private void initConnection(Channel channel) {
        ConnectionMemory memory = process.open(() -> ImmediateClose.close(channel));
        HttpDecoderConfig decoding = new HttpDecoderConfig()
                .setHeadersFactory(ChargedHeaders.headsOf(memory))
                .setTrailersFactory(ChargedHeaders.trailersOf(memory));
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, IDLE_LIMIT_S),
                        new InboundPieces(memory),
                        new HttpServerCodec(decoding),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new Handler(memory));
        channel.closeFuture().addListener(closed -> {
            limit.remove(memory);
            memory.close();
        });
        limit.add(memory, channel::close);
    }

    private FullHttpResponse answerTo(String path, ConnectionMemory memory) {
        if (path.equals(readinessPath)) {
            return answer(ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
        }
        if (path.equals(METRICS_PATH)) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, memory.hold(metrics.get()));
        }
        return answer(HttpResponseStatus.NOT_FOUND, "");
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    /** Answers the requests of one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final ConnectionMemory memory;

        Handler(ConnectionMemory memory) {
            this.memory = memory;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            ChargedHeaders.release(request.headers());
            ChargedHeaders.release(request.trailingHeaders());
            memory.restart(HoldingPhase.RECEIVING);
            if (!context.channel().isWritable()) {
                // The caller has not read the previous answers.
                context.close();
                return;
            }
            FullHttpResponse response = answerTo(request.uri(), memory);
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
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
