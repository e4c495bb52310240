package io.jayhead.gateway.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads from the head of an answer whether it can be believed, and where the answer ends. */
public final class AnswerHead {

    private static final String VERSION = "/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?: |$)", Pattern.CASE_INSENSITIVE);

    private AnswerHead() {}

    /**
     * Tells whether a head can be that of a single answer. A head that breaks off swallows the status line of the
     * answer that follows it, as part of its own status line or of a header.
     *
     * @param head the head as it was decoded
     * @return false if it has more than one status line, none of HTTP/1, or a transfer encoding other than chunked
     */
    public static boolean isSingle(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        for (String encoding : head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
            if (!HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding.strip())) {
                return false;
            }
        }
        if (hasStatusLine(head.status().reasonPhrase())) {
            return false;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (hasStatusLine(header.getValue())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether an answer names its own end; otherwise the end of the connection ends it, as a crash does too.
     *
     * @param head the head of the answer
     * @return true if the answer has a length or comes in chunks
     */
    public static boolean isFramed(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    private static boolean hasStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
