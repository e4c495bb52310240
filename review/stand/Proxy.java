import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Forwards connections; some of the open ones can be made silent for good, while others and new ones go on. */
final class Proxy {

    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final List<Link> links = new ArrayList<>();
    private final int targetPort;

    Proxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        Threads.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = server.accept();
            Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            Link link = new Link(from, to);
            synchronized (this) {
                links.add(link);
            }
            Threads.start(() -> link.copy(from, to));
            Threads.start(() -> link.copy(to, from));
        }
    }

    /** Makes the open connections silent that have carried nothing for the longest time; returns what it did. */
    synchronized String silence(double share) {
        List<Link> open = new ArrayList<>(links.stream().filter(Link::isOpen).toList());
        open.sort(Comparator.comparingLong(link -> link.usedAtNs));
        int count = (int) (open.size() * share);
        open.subList(0, count).forEach(link -> link.silent = true);
        return count + " of " + open.size() + " open connections";
    }

    /** A connection and its continuation. */
    private static final class Link {

        private final Socket from;
        private final Socket to;
        private volatile boolean silent;
        private volatile boolean closed;
        private volatile long usedAtNs = System.nanoTime();

        private Link(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        private boolean isOpen() {
            return !closed && !silent;
        }

        private void copy(Socket source, Socket target) throws IOException {
            byte[] buffer = new byte[65_536];
            try {
                InputStream in = source.getInputStream();
                OutputStream out = target.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!silent) {
                        usedAtNs = System.nanoTime();
                        out.write(buffer, 0, read);
                    }
                }
            } finally {
                closed = true;
                if (!silent) {
                    from.close();
                    to.close();
                }
            }
        }
    }
}
