package io.jayhead.ctl.router;

import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether any byte of a request may have been sent. */
final class SentFlag {

    private final AtomicBoolean sent = new AtomicBoolean();

    boolean isSent() {
        return sent.get();
    }

    /** Sets the flag of a request before its first byte is written. */
    static final class Listener extends EventListener {

        @Override
        public void requestHeadersStart(Call call) {
            SentFlag sentFlag = call.request().tag(SentFlag.class);
            if (sentFlag != null) {
                sentFlag.sent.set(true);
            }
        }
    }
}
