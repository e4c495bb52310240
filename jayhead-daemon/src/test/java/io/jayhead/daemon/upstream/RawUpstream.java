package io.jayhead.daemon.upstream;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers each request with the same bytes, whatever they are, and then closes or resets the connection. */
final class RawUpstream implements AutoCloseable {

    /** Time for the client to fill the socket buffers with its request. */
    private static final long UPLOAD_MS = 200;

    /** How often an endless text is repeated in one write. */
    private static final int REPETITIONS = 10_000;

    private final AtomicInteger requests = new AtomicInteger();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private volatile byte[] answer = {};
    private volatile boolean early;
    private volatile byte[] repeated = {};
    private volatile long repeatedBytes;

    RawUpstream() throws IOException {
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    /** Returns how many requests have arrived. */
    int requests() {
        return requests.get();
    }

    /** Sets the answer to the next requests; each character is one byte. */
    void answer(String text) {
        answer = text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Answers the next requests as soon as it has their head, and resets the connection before it reads their body. */
    void answerEarlyAndReset(String text) {
        answer(text);
        early = true;
    }

    /** Answers the next requests with a text that is followed by another again and again, up to a number of bytes. */
    void answerEndlessly(String start, String next, long mostBytes) {
        answer(start);
        repeated = next.repeat(REPETITIONS).getBytes(StandardCharsets.ISO_8859_1);
        repeatedBytes = mostBytes;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            int bodyBytes = readHead(socket.getInputStream());
            requests.incrementAndGet();
            if (early) {
                socket.getOutputStream().write(answer);
                Thread.sleep(UPLOAD_MS);
                socket.setSoLinger(true, 0);
                return;
            }
            socket.getInputStream().readNBytes(bodyBytes);
            socket.getOutputStream().write(answer);
            for (long sent = 0; sent < repeatedBytes; sent += repeated.length) {
                socket.getOutputStream().write(repeated);
            }
        } catch (IOException | InterruptedException closed) {
            // The client closed the connection.
            return;
        }
    }

    /** Reads a head and returns the length of the body that follows it. */
    private static int readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        String lengthField = "content-length: ";
        String text = head.toString().toLowerCase(Locale.ROOT);
        int start = text.indexOf(lengthField);
        return start < 0
                ? 0
                : Integer.parseInt(text.substring(start + lengthField.length(), text.indexOf("\r\n", start)));
    }
}
