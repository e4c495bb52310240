package io.jayhead.standins.http;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Tracks the open connections of a stand-in, so that the fault {@code silent} can affect them. */
final class Connections {

    private final Map<Channel, SilenceHandler> handlers = new ConcurrentHashMap<>();

    SilenceHandler add(Channel channel) {
        SilenceHandler handler = new SilenceHandler();
        handlers.put(channel, handler);
        channel.closeFuture().addListener(ignored -> handlers.remove(channel));
        return handler;
    }

    void recordRequest(Channel channel, String path) {
        SilenceHandler handler = handlers.get(channel);
        if (handler != null) {
            handler.recordRequest(path);
        }
    }

    /**
     * Silences all connections whose last request path has the prefix, except the connection that injects the fault.
     * Returns the number of silenced connections.
     */
    int silence(Channel requester, String pathPrefix) {
        int silenced = 0;
        for (Map.Entry<Channel, SilenceHandler> entry : handlers.entrySet()) {
            boolean matches = entry.getValue().lastPath().startsWith(pathPrefix);
            if (matches && entry.getKey() != requester) {
                entry.getValue().silence();
                entry.getKey().config().setAutoRead(false);
                silenced++;
            }
        }
        return silenced;
    }
}
