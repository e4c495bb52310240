package io.jayhead.scenarios.run;

import io.jayhead.scenarios.language.Node;
import java.util.List;

/** Renders the settings file of a router. Options of the node become settings as they are. */
final class RouterSettings {

    private RouterSettings() {}

    static String render(
            Node node,
            RouterAddresses addresses,
            List<String> seedPeers,
            String advertisedPeersAddress,
            String platformAddress,
            String credentialSha256) {
        StringBuilder text = new StringBuilder("""
                vm: %s
                availability_zone: %s
                region: ga-east
                callers_address: %s
                operators_address: %s
                peers_address: %s
                advertised_peers_address: %s
                platform_address: http://%s
                operator_credential_sha256: %s
                """.formatted(
                        node.name(),
                        node.availabilityZone(),
                        addresses.callers(),
                        addresses.operators(),
                        addresses.peers(),
                        advertisedPeersAddress,
                        platformAddress,
                        credentialSha256));
        if (!seedPeers.isEmpty()) {
            text.append("seed_peers: [").append(String.join(", ", seedPeers)).append("]\n");
        }
        List<String> options = node.options();
        for (int i = 0; i + 1 < options.size(); i += 2) {
            text.append(options.get(i)).append(": ").append(options.get(i + 1)).append('\n');
        }
        return text.toString();
    }
}
