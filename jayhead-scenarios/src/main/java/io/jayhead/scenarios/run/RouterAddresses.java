package io.jayhead.scenarios.run;

/**
 * Holds the addresses of a router as IP:PORT.
 *
 * @param callers the address for callers
 * @param operators the address for operators
 * @param peers the address for other routers, which reach it through a relay
 */
record RouterAddresses(String callers, String operators, String peers) {

    static RouterAddresses of(FreePorts ports) {
        return new RouterAddresses(ports.nextAddress(), ports.nextAddress(), ports.nextAddress());
    }
}
