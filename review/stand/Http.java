import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

    /** A message: its first line, its headers (names in any case) and its body. */
    record Message(String first, Map<String, String> headers, byte[] body, boolean whole) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private Http() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("closed");
            }
            if (next != '\r') {
                out.write(next);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a first line and the headers; null if the peer closed before the first byte. */
    static Message head(BufferedInputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        String first = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).strip(), next.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0], true);
    }

    /** Reads a request or an answer that has a length or is chunked; an answer that breaks off is not whole. */
    static Message read(BufferedInputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        try {
            if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                for (int size = chunk(in); size > 0; size = chunk(in)) {
                    copy(in, body, size);
                    line(in);
                }
                line(in);
            } else if (!head.header("Content-Length").isEmpty()) {
                copy(in, body, Integer.parseInt(head.header("Content-Length")));
            }
        } catch (IOException brokenOff) {
            whole = false;
        }
        return new Message(head.first(), head.headers(), body.toByteArray(), whole);
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[16_384];
        for (int left = size; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("closed");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }
}
