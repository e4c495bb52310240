package io.jayhead.gateway.control;

import java.net.InetSocketAddress;

/**
 * Where a router listens for other routers.
 *
 * @param vmName the name of its VM
 * @param address the address
 */
public record RouterAddress(String vmName, InetSocketAddress address) {}
