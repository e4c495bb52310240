package io.jayhead.standins.http;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the open connections of a server, so that a fault can silence them. */
final class Connections {

    private final Map<Channel, SilentGate> gates = new ConcurrentHashMap<>();

    SilentGate add(Channel channel) {
        SilentGate gate = new SilentGate();
        gates.put(channel, gate);
        channel.closeFuture().addListener(ignored -> gates.remove(channel));
        return gate;
    }

    void requested(Channel channel, String path) {
        SilentGate gate = gates.get(channel);
        if (gate != null) {
            gate.requested(path);
        }
    }

    /** Silences all connections whose last request has the path prefix, except the one that orders the fault. */
    int silence(Channel ordering, String pathPrefix) {
        int silenced = 0;
        for (Map.Entry<Channel, SilentGate> entry : gates.entrySet()) {
            boolean matches = entry.getValue().lastPath().startsWith(pathPrefix);
            if (matches && entry.getKey() != ordering) {
                entry.getValue().silence();
                entry.getKey().config().setAutoRead(false);
                silenced++;
            }
        }
        return silenced;
    }
}
