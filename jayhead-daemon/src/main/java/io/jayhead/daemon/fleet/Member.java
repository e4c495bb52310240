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
 * A router as registered in the platform object {@code member/{vm}}.
 *
 * @param vm the VM
 * @param incarnation the process start
 * @param zone the availability zone
 * @param address the address for peers
 */
public record Member(VmName vm, IncarnationId incarnation, AvailabilityZone zone, InetSocketAddress address) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Reads a registration.
     *
     * @param vm the VM, which is the name of the object
     * @param json the content of the object
     * @return the registration
     * @throws IllegalArgumentException if the content is not a registration
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
            throw new IllegalArgumentException("not a registration: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Parses an address.
     *
     * @param text IP number and port, separated by a colon
     * @return the address
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns the address in the form that {@link #address} parses.
     *
     * @return IP number and port
     */
    public String addressText() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Writes the registration.
     *
     * @return the content of the object
     */
    public String encode() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("incarnation", incarnation.value());
        root.put("availability_zone", zone.value());
        root.put("peer_address", addressText());
        return root.toString();
    }
}
