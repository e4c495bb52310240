package io.jayhead.daemon.contract;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Sends HTTP requests over a socket byte for byte as given, so that tests control their exact form. */
final class RawHttp {

    private static final int READ_TIMEOUT_MS = 20_000;

    private RawHttp() {}

    /** Sends a request with only the headers that it needs. An empty credential adds no Authorization header. */
    static RawAnswer call(int port, String method, String path, String credential, String body) {
        return send(port, request(method, path, credential, body), chunk -> {});
    }

    static String request(String method, String path, String credential, String body) {
        String authorization = credential.isEmpty() ? "" : "Authorization: Bearer " + credential + "\r\n";
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        String content = method.equals("GET") ? "" : "Content-Length: " + length + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: router\r\n" + authorization + content
                + "Connection: close\r\n\r\n" + body;
    }

    /** Sends a request and reports each chunk of the answer as it arrives. */
    static RawAnswer send(int port, String request, Consumer<String> onChunk) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()), onChunk);
        } catch (IOException e) {
            throw new IllegalStateException("no answer to " + request.lines().findFirst(), e);
        }
    }

    private static RawAnswer read(InputStream in, Consumer<String> onChunk) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            head.append(line).append('\n');
        }
        if (head.isEmpty()) {
            throw new IOException("the connection was closed without an answer");
        }
        int status = Integer.parseInt(head.substring(9, 12));
        String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = lower.contains("transfer-encoding: chunked")
                ? readChunks(in, body, onChunk)
                : readLength(in, body, length(lower));
        return new RawAnswer(status, head.toString(), body.toString(StandardCharsets.UTF_8), complete);
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body, Consumer<String> onChunk) {
        try {
            for (String size = line(in); !size.isEmpty(); size = line(in)) {
                int length = Integer.parseInt(size, 16);
                if (length == 0) {
                    return true;
                }
                byte[] chunk = in.readNBytes(length);
                body.writeBytes(chunk);
                line(in);
                onChunk.accept(new String(chunk, StandardCharsets.UTF_8));
            }
            return false;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean readLength(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        byte[] bytes = length < 0 ? in.readAllBytes() : in.readNBytes(length);
        body.writeBytes(bytes);
        return length < 0 || bytes.length == length;
    }

    private static int length(String head) {
        return head.lines()
                .filter(line -> line.startsWith("content-length:"))
                .map(line -> Integer.parseInt(
                        line.substring("content-length:".length()).trim()))
                .findFirst()
                .orElse(-1);
    }

    /** Reads a line without its line break; returns an empty string at the end of the stream. */
    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
