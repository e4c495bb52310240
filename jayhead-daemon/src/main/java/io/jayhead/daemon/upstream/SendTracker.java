package io.jayhead.daemon.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a byte of a request may have been written, so that the upstream may have run it. */
final class SendTracker extends EventListener {

    private volatile boolean sent;

    @Override
    public void requestHeadersStart(Call call) {
        sent = true;
    }

    boolean isSent() {
        return sent;
    }
}
