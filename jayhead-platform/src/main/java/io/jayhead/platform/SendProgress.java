package io.jayhead.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a call began to send its request; a write that failed before that certainly had no effect. */
final class SendProgress extends EventListener {

    private volatile boolean started;

    @Override
    public void requestHeadersStart(Call call) {
        started = true;
    }

    boolean started() {
        return started;
    }

    static EventListener of(Call call) {
        SendProgress progress = call.request().tag(SendProgress.class);
        return progress == null ? EventListener.NONE : progress;
    }
}
