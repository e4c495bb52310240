package io.jayhead.scenarios.run;

/**
 * Holds the addresses of a router as IP:PORT.
 *
 * @param callers where callers connect
 * @param operators where operators connect
 * @param peers where other routers connect
 */
record RouterAddresses(String callers, String operators, String peers) {

    static RouterAddresses of(FreePorts ports) {
        return new RouterAddresses(ports.address(), ports.address(), ports.address());
    }
}
