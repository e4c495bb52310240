import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** Stands in for the platform's store: objects by kind and name, one revision counter, conditional writes, watches. */
final class Store {

    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private record Answer(int status, Object body) {}

    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Map<String, Map<String, Object>> objects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 1;
    /** A waiting watch is cut off, by closing its connection, after a time between these two. */
    private volatile long minWatchMs = Long.MAX_VALUE;

    private volatile long maxWatchMs = Long.MAX_VALUE;

    Store() throws IOException {
        Threads.start(this::accept);
    }

    void cutWatches(long minMs, long maxMs) {
        minWatchMs = minMs;
        maxWatchMs = maxMs;
    }

    private long watchCutMs() {
        return maxWatchMs == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : ThreadLocalRandom.current().nextLong(minWatchMs, maxWatchMs + 1);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket));
        }
    }

    /** Writes an object as the operator or an engine does; the return is the acknowledgement. */
    synchronized void put(String kind, String name, Map<String, Object> spec, Object born) {
        Map<String, Object> old = objects.get(kind + "/" + name);
        store(kind, name, spec, old, born);
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> removed = objects.remove(kind + "/" + name);
        if (removed != null) {
            events.add(new Event(++revision, kind, removed, true));
            notifyAll();
        }
    }

    private Map<String, Object> store(
            String kind, String name, Object spec, Map<String, Object> old, Object born) {
        revision++;
        Object created = old == null ? revision : ((Map<?, ?>) old.get("Metadata")).get("CreatedRev");
        Map<String, Object> object = new LinkedHashMap<>();
        object.put(
                "Metadata",
                Json.of(
                        "Name", name, "Rev", revision, "CreatedRev", created, "Finalizers", List.of(), "Deleting",
                        false));
        object.put("Spec", spec);
        object.put("Status", Map.of());
        if (born != null) {
            object.put("born", born);
        }
        objects.put(kind + "/" + name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null && call.whole(); call = Http.read(in)) {
                Answer answer = answer(call);
                if (answer == null) {
                    return;
                }
                byte[] body = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                OutputStream out = socket.getOutputStream();
                byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
                byte[] message = new byte[headBytes.length + body.length];
                System.arraycopy(headBytes, 0, message, 0, headBytes.length);
                System.arraycopy(body, 0, message, headBytes.length, body.length);
                out.write(message);
                out.flush();
            }
        }
    }

    private synchronized Answer answer(Http.Message call) {
        String[] request = call.first().split(" ");
        String[] target = request[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        }
        String[] path = target[0].substring("/jayhead/objects/".length()).split("/");
        String kind = path[0];
        String name = path.length > 1 ? path[1] : "";
        if (request[0].equals("GET")) {
            return query.containsKey("Watch")
                    ? watch(kind, Long.parseLong(query.get("Watch")), Long.parseLong(query.getOrDefault("WaitMs", "0")))
                    : get(kind, name, query.getOrDefault("After", ""));
        }
        if (request[0].equals("DELETE")) {
            return objects.containsKey(kind + "/" + name) ? deleted(kind, name) : new Answer(404, Map.of());
        }
        Map<?, ?> body = (Map<?, ?>) Json.parse(new String(call.body(), StandardCharsets.UTF_8));
        Map<?, ?> metadata = (Map<?, ?>) body.get("Metadata");
        String written = name.isEmpty() ? (String) metadata.get("Name") : name;
        Map<String, Object> old = objects.get(kind + "/" + written);
        if (request[0].equals("POST")) {
            return old != null
                    ? new Answer(409, old)
                    : new Answer(201, store(kind, written, body.get("Spec"), null, null));
        }
        if (old == null) {
            return new Answer(404, Map.of());
        }
        Object expected = metadata.get("Rev");
        if (expected != null && !expected.equals(((Map<?, ?>) old.get("Metadata")).get("Rev"))) {
            return new Answer(409, old);
        }
        return old.get("Spec").equals(body.get("Spec"))
                ? new Answer(200, old)
                : new Answer(200, store(kind, written, body.get("Spec"), old, null));
    }

    private Answer deleted(String kind, String name) {
        delete(kind, name);
        return new Answer(200, Map.of());
    }

    private Answer get(String kind, String name, String after) {
        if (!name.isEmpty()) {
            Map<String, Object> object = objects.get(kind + "/" + name);
            return object == null ? new Answer(404, Map.of()) : new Answer(200, object);
        }
        List<Object> items = new ArrayList<>();
        objects.forEach((key, object) -> {
            if (key.startsWith(kind + "/") && key.compareTo(kind + "/" + after) > 0) {
                items.add(object);
            }
        });
        return new Answer(200, Json.of("Items", items, "More", false, "CurrentRev", revision));
    }

    private Answer watch(String kind, long since, long waitMs) {
        long cutMs = watchCutMs();
        long endNs = System.nanoTime() + Math.min(waitMs, cutMs) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > since && event.kind().equals(kind)) {
                    found.add(Json.of("Object", event.object(), "Deleted", event.deleted()));
                }
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (found.isEmpty() && leftMs <= 0 && cutMs < waitMs) {
                return null;
            }
            if (!found.isEmpty() || leftMs <= 0) {
                return new Answer(200, Json.of("events", found, "CurrentRev", revision));
            }
            try {
                wait(leftMs);
            } catch (InterruptedException stopped) {
                return new Answer(503, Map.of());
            }
        }
    }
}
