package io.jayhead.load.experiment;

/** Blocks the traffic of all links that share this gate while it is shut. */
final class Gate {

    private boolean shut;

    synchronized void shut() {
        shut = true;
    }

    synchronized void open() {
        shut = false;
        notifyAll();
    }

    synchronized void awaitOpen() throws InterruptedException {
        while (shut) {
            wait();
        }
    }
}
