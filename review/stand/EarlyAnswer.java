import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Engines begin an answer without a length before they have read a long body, and are reset on the way. */
final class EarlyAnswer extends Case {

    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final long PREPAID = 2_000_000;
    /** Within MaxBodyBytes. */
    private static final int BODY_BYTES = 4_000_000;

    private static final int READ_FIRST_BYTES = 100_000;
    private static final int ANSWER_BYTES = 800;
    private static final int SENT_FIRST_BYTES = 500;
    private static final long WORK_MS = 40;
    private static final int REQUESTS = 400;
    /** One of the two engines breaks off 2 in 100 of its answers. */
    private static final int BROKEN_OFF_EACH = 50;

    private final AtomicInteger answersOfFirst = new AtomicInteger();
    private final AtomicInteger resets = new AtomicInteger();

    public static void main(String[] arguments) {
        new EarlyAnswer().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 2; i++) {
            ServerSocket server = new ServerSocket();
            server.setReceiveBufferSize(65_536);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String id = "i-7f3a91c" + i;
            fleet.store.put(
                    "servers",
                    id,
                    Json.of(
                            "Service", Fleet.DESK, "Address", "127.0.0.1:" + server.getLocalPort(), "Zone", "bern-a",
                            "Version", "1", "Slots", 6, "State", "ready", "WarmupLeftMs", 0, "Sequence", 1),
                    System.currentTimeMillis());
            Threads.start(() -> accept(server, id));
        }
        Engine.Work stream = new Engine.Work(true, 8, 20, 0, 0);
        new Engine(fleet.store, Fleet.POOL, "bern-a", stream, (engine, request) -> {});
        fleet.configure(Map.of("hule930", List.of(KEY)), PREPAID);
        require(fleet.startRouters(1, fleet.store.port()), "the router is not ready");
        Threads.sleep(3_000);
        int broken = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int bytes = request();
            broken += bytes >= 0 && bytes < ANSWER_BYTES ? 1 : 0;
            whole += bytes == ANSWER_BYTES ? 1 : 0;
            Threads.sleep(10);
        }
        record.add("of " + REQUESTS + " bookings, " + resets + " answers were reset on the way; " + whole + " got the whole body of their engine with 200, " + broken
                + " got a part of it as a complete answer with 200");
        require(trouble || whole > REQUESTS / 2, "without the disruption, bookings are not served");
        return broken == 0;
    }

    private void accept(ServerSocket server, String id) throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket, id));
        }
    }

    private void serve(Socket socket, String id) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.head(in);
            if (head == null) {
                return;
            }
            int bodyBytes = Integer.parseInt(head.header("Content-Length"));
            in.readNBytes(Math.min(bodyBytes, READ_FIRST_BYTES));
            record.add("engine " + id + " runs " + head.header("Request-Id"));
            OutputStream out = socket.getOutputStream();
            String answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + head.header("Request-Id") + "\r\nServer-Seal: s." + id
                    + "\r\nConnection: close\r\n\r\n" + "a".repeat(SENT_FIRST_BYTES);
            out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(WORK_MS);
            boolean breaksOff = id.endsWith("0") && answersOfFirst.incrementAndGet() % BROKEN_OFF_EACH == 0;
            if (trouble && breaksOff) {
                resets.incrementAndGet();
                socket.setSoLinger(true, 0);
                socket.close();
                record.add("engine " + id + " is reset after " + SENT_FIRST_BYTES + " of " + ANSWER_BYTES
                        + " bytes of its answer to " + head.header("Request-Id"));
                return;
            }
            in.readNBytes(Math.max(0, bodyBytes - READ_FIRST_BYTES));
            out.write("a".repeat(ANSWER_BYTES - SENT_FIRST_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            record.add("engine " + id + " has answered " + head.header("Request-Id") + " whole");
        }
    }

    /** Returns the bytes of an answer with 200 that looks complete; negative for any other answer. */
    private int request() throws IOException {
        String id = Client.newId();
        try (Client client = new Client(fleet.routers.get(0).frontPort, 0)) {
            record.add("client sends " + id + " with " + BODY_BYTES + " bytes");
            client.send(
                    Client.head("POST", "/book-delivery/1", id, KEY, 1_000, "", BODY_BYTES), Fleet.bytes(BODY_BYTES));
            Http.Message answer = Http.read(client.in);
            record.add("client gets " + (answer == null ? "a closed connection" : answer.first() + ", Server-Seal '"
                    + answer.header("Server-Seal") + "', Content-Length " + answer.header("Content-Length") + ", "
                    + answer.body().length + " bytes, " + (answer.whole() ? "complete" : "broken off")) + " for " + id);
            return answer != null && answer.status() == 200 && answer.whole() ? answer.body().length : -1;
        } catch (IOException failure) {
            record.add("client gets " + failure + " for " + id);
            return -1;
        }
    }
}
