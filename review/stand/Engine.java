import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for an engine: registers itself in the store, checks the expected instance, answers calls and streams. */
final class Engine {

    /** How an engine answers. */
    record Work(boolean stream, int events, long eventGapMs, long callMs, int answerBytes) {}

    /** Is told of each request that an engine begins to work on. */
    interface Listener {
        void ran(Engine engine, Http.Message request);
    }

    private static final AtomicInteger COUNT = new AtomicInteger();

    final String id = String.format(Locale.ROOT, "i-%08x", 0x7f3a9100 + COUNT.incrementAndGet());
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Store store;
    private final String service;
    private final String zone;
    private final Work work;
    private final Listener listener;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private volatile String state = "ready";
    private long sequence;

    Engine(Store store, String service, String zone, Work work, Listener listener) throws IOException {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.work = work;
        this.listener = listener;
        register();
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Reports that it is leaving; the return is the store's acknowledgement. */
    void drain() {
        state = "draining";
        register();
    }

    /** Removes its entry and ends. */
    void leave() throws IOException {
        store.delete("servers", id);
        server.close();
    }

    private synchronized void register() {
        sequence++;
        store.put(
                "servers",
                id,
                Json.of(
                        "Service", service, "Address", address(), "Zone", zone, "Version", "1", "Slots", 64, "State",
                        state, "WarmupLeftMs", 0, "Sequence", sequence),
                born);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null && request.whole(); request = Http.read(in)) {
                answer(request, socket.getOutputStream());
            }
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            out.write(ascii("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        if (request.first().startsWith("GET /healthz ")) {
            out.write(ascii("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        listener.ran(this, request);
        running.incrementAndGet();
        try {
            String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nServer-Seal: s." + id
                    + "\r\nEngine-Load: " + running.get() + ",0,64\r\n";
            if (work.stream()) {
                stream(request, head, out);
            } else {
                Thread.sleep(work.callMs());
                byte[] body = new byte[work.answerBytes()];
                Arrays.fill(body, (byte) 'a');
                out.write(ascii(head + "Content-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
            }
            out.flush();
        } finally {
            running.decrementAndGet();
        }
    }

    private void stream(Http.Message request, String head, OutputStream out) throws IOException, InterruptedException {
        out.write(ascii(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= work.events(); event++) {
            Thread.sleep(work.eventGapMs());
            String text = "id: " + event + "\ndata: " + request.header("Request-Id") + " token " + event + "\n\n";
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }
        out.write(ascii("0\r\n\r\n"));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static Map<String, Object> service(String name, boolean model) {
        Map<String, Object> service = Json.of("Name", name, "HealthPath", "/healthz", "MaxConns", 360);
        if (model) {
            service.put("Engine", Json.of("Slots", 64, "KvTokens", 509_755, "Stride", 6));
        }
        return service;
    }
}
