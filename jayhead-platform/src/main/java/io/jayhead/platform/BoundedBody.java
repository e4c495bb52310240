package io.jayhead.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import okhttp3.ResponseBody;
import okio.BufferedSource;

/** Reads bodies of answers up to a limit, since a remote host in trouble may send bytes without end. */
public final class BoundedBody {

    /** The largest answer of a service or of the platform. */
    public static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;

    /**
     * The largest report of an upstream on itself. Reports are read into trees of values, which take many times as much
     * memory as their text.
     */
    public static final long MAX_REPORT_BYTES = 1024 * 1024;

    private BoundedBody() {}

    /**
     * Reads a body as text in UTF-8.
     *
     * @param body the body
     * @param maxBytes the most bytes that it may have
     * @return the text
     * @throws IOException if the body is longer, or does not arrive completely
     */
    public static String text(ResponseBody body, long maxBytes) throws IOException {
        BufferedSource source = body.source();
        if (source.request(maxBytes + 1)) {
            throw new IOException("an answer of more than " + maxBytes + " bytes");
        }
        return source.readString(StandardCharsets.UTF_8);
    }
}
