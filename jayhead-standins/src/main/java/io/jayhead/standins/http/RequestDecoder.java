package io.jayhead.standins.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts Netty's requests to {@link Request} values and passes them to the control thread. */
final class RequestDecoder extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final StandinContext context;
    private final FaultFilter faultFilter;
    private final Connections connections;

    RequestDecoder(StandinContext context, FaultFilter faultFilter, Connections connections) {
        this.context = context;
        this.faultFilter = faultFilter;
        this.connections = connections;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, FullHttpRequest message) {
        Request request = decode(message);
        connections.recordRequest(channelContext.channel(), request.path());
        Exchange exchange = new Exchange(context, channelContext.channel(), request, HttpUtil.isKeepAlive(message));
        context.control().execute(() -> faultFilter.handle(request, exchange, channelContext.channel()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        // Not logged: callers that reset their connections are normal here.
        channelContext.close();
    }

    private static Request decode(FullHttpRequest message) {
        QueryStringDecoder uri = new QueryStringDecoder(message.uri());
        Map<String, String> query = new HashMap<>();
        uri.parameters().forEach((name, values) -> query.put(name, values.get(0)));
        Map<String, String> headers = new HashMap<>();
        message.headers().forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
        List<String> segments = Arrays.stream(uri.rawPath().split("/"))
                .filter(segment -> !segment.isEmpty())
                .map(QueryStringDecoder::decodeComponent)
                .toList();
        return new Request(
                message.method().name(),
                uri.rawPath(),
                segments,
                query,
                headers,
                message.content().toString(StandardCharsets.UTF_8),
                message.content().readableBytes());
    }
}
