import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** Stands in for a client with one connection. */
final class Client implements AutoCloseable {

    final Socket socket;
    final BufferedInputStream in;

    Client(int port, int receiveBufferBytes) throws IOException {
        socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    static Http.Message get(int port, String path) throws IOException {
        try (Client client = new Client(port, 0)) {
            client.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", new byte[0]);
            return Http.read(client.in);
        }
    }

    /** Returns the head of a request; a body follows if it has a length. */
    static String head(String method, String path, String id, String key, long deadlineMs, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMs + "\r\nApi-Key: " + key + "\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    void send(String head, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
