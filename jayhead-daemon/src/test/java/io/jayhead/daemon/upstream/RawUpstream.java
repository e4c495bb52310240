package io.jayhead.daemon.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Answers each request with the same bytes, whatever they are, and then closes the connection. */
final class RawUpstream implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private volatile byte[] answer = {};

    RawUpstream() throws IOException {
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    /** Sets the answer to the next requests; each character is one byte. */
    void answer(String text) {
        answer = text.getBytes(StandardCharsets.ISO_8859_1);
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
            readRequest(socket.getInputStream());
            socket.getOutputStream().write(answer);
        } catch (IOException closed) {
            // The client closed the connection.
            return;
        }
    }

    private static void readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return;
            }
            head.append((char) next);
        }
        String lengthField = "content-length: ";
        String text = head.toString().toLowerCase(Locale.ROOT);
        int start = text.indexOf(lengthField);
        if (start >= 0) {
            String length = text.substring(start + lengthField.length(), text.indexOf("\r\n", start));
            input.readNBytes(Integer.parseInt(length));
        }
    }
}
