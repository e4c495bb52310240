package io.jayhead.daemon.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Notes whether a byte of a request may have been written. */
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
