import java.io.IOException;

/** Starts daemon threads whose input and output errors end only them. */
final class Threads {

    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException ended) {
                // The peer has left, or the case is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
