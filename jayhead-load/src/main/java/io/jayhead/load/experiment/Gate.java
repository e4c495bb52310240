package io.jayhead.load.experiment;

/** Stops all links that share it while it is shut. */
final class Gate {

    private boolean shut;

    synchronized void shut() {
        shut = true;
    }

    synchronized void open() {
        shut = false;
        notifyAll();
    }

    synchronized void pass() throws InterruptedException {
        while (shut) {
            wait();
        }
    }
}
