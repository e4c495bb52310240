package io.jayhead.ctl.router;

import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a request may have reached the router. */
final class SendMark {

    private final AtomicBoolean sent = new AtomicBoolean();

    boolean isSent() {
        return sent.get();
    }

    /** Sets the mark of a request before its first byte is written. */
    static final class Listener extends EventListener {

        @Override
        public void requestHeadersStart(Call call) {
            SendMark mark = call.request().tag(SendMark.class);
            if (mark != null) {
                mark.sent.set(true);
            }
        }
    }
}
