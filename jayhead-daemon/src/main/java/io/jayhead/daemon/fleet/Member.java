package io.jayhead.daemon.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.VmName;
import java.net.InetSocketAddress;

/**
 * Describes a router as registered in the platform object {@code member/{vm}}.
 *
 * @param vm the VM on which the router runs
 * @param incarnation identifies the process; each start has a new one
 * @param zone the availability zone
 * @param address the address for requests of other routers
 */
public record Member(VmName vm, IncarnationId incarnation, AvailabilityZone zone, InetSocketAddress address) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Decodes a registration.
     *
     * @param vm the name of the platform object, which is the name of the VM
     * @param json the body of the platform object
     * @return the registration
     * @throws IllegalArgumentException if the body is not a valid registration
     */
    public static Member decode(String vm, String json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            return new Member(
                    VmName.of(vm),
                    IncarnationId.of(root.path("incarnation").asText()),
                    AvailabilityZone.of(root.path("availability_zone").asText()),
                    address(root.path("peer_address").asText()));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("router registration is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Parses a peer address.
     *
     * @param text IP address and port, separated by a colon
     * @return the address
     * @throws IllegalArgumentException if the port is not a valid number
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns the peer address in the format that {@link #address(String)} parses.
     *
     * @return IP address and port, separated by a colon
     */
    public String addressText() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Encodes the registration.
     *
     * @return the body of the platform object, in JSON
     */
    public String encode() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("incarnation", incarnation.value());
        root.put("availability_zone", zone.value());
        root.put("peer_address", addressText());
        return root.toString();
    }
}
