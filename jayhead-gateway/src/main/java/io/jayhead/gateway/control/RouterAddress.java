package io.jayhead.gateway.control;

import java.net.InetSocketAddress;

/**
 * The address on which a router accepts other routers.
 *
 * @param vmName the name of the router's VM
 * @param address the socket address for peer messages
 */
public record RouterAddress(String vmName, InetSocketAddress address) {}
