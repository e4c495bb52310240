package io.jayhead.platform;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/** Records whether a body was written as a whole; the client also reads an answer if writing has failed. */
final class TrackedBody extends RequestBody {

    private final RequestBody body;
    private volatile boolean written;

    private TrackedBody(RequestBody body) {
        this.body = body;
    }

    /** Returns a body that is tracked; null if there is none. */
    static TrackedBody of(RequestBody body) {
        return body == null ? null : new TrackedBody(body);
    }

    boolean isWritten() {
        return written;
    }

    @Override
    public MediaType contentType() {
        return body.contentType();
    }

    @Override
    public long contentLength() throws IOException {
        return body.contentLength();
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        body.writeTo(sink);
        sink.flush();
        written = true;
    }
}
