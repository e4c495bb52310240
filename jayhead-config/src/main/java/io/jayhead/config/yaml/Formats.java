package io.jayhead.config.yaml;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates the formats that are shared by fleet texts and settings. */
public final class Formats {

    /** Describes a valid name in messages. */
    public static final String NAME_RULE = "a name of 1 to 64 letters, digits, - and _";

    /** Describes a valid name of weights, an adapter or a model in messages. */
    public static final String ARTIFACT_RULE = "a name of 1 to 64 letters, digits, '.', - and _";

    /** Describes a valid address of an upstream or of the platform in messages. */
    public static final String URL_RULE = "an http URL with an IP number and a port, such as http://127.0.0.1:9000";

    /** Describes a valid listen or peer address in messages. */
    public static final String ENDPOINT_RULE = "an IP number and a port, such as 127.0.0.1:8001";

    /** Describes a valid SHA-256 digest in messages. */
    public static final String DIGEST_RULE = "64 lower-case hexadecimal digits";

    /** Matches a SHA-256 digest. */
    public static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    /** Dots are excluded because a dot separates organisation and budget in the names of platform objects. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,63}");

    private static final Pattern ARTIFACT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    private static final int MAX_ADDRESS_CHARACTERS = 100;
    private static final int MAX_PORT = 65_535;

    private Formats() {}

    /**
     * Validates a name.
     *
     * @param text the text
     * @return the name, or empty if it is invalid
     */
    public static Optional<String> name(String text) {
        return Optional.of(text).filter(value -> NAME.matcher(value).matches());
    }

    /**
     * Validates a name of weights, an adapter or a model. Unlike other names, it may contain dots, as versions do.
     *
     * @param text the text
     * @return the name, or empty if it is invalid
     */
    public static Optional<String> artifactName(String text) {
        return Optional.of(text).filter(value -> ARTIFACT.matcher(value).matches());
    }

    /**
     * Validates an http URL that consists of an IP address and a port only.
     *
     * @param text the text
     * @return the URL, or empty if it is invalid
     */
    public static Optional<String> httpUrl(String text) {
        return text.startsWith("http://") ? parseAuthority(text).map(address -> text) : Optional.empty();
    }

    /**
     * Parses an IP address and a port. Host names are rejected, so no name lookup takes place.
     *
     * @param text the text
     * @return the address, or empty if the text is invalid
     */
    public static Optional<InetSocketAddress> endpoint(String text) {
        return parseAuthority("http://" + text);
    }

    private static Optional<InetSocketAddress> parseAuthority(String url) {
        if (url.length() > MAX_ADDRESS_CHARACTERS) {
            return Optional.empty();
        }
        try {
            URI uri = new URI(url);
            String host = uri.getHost();
            boolean hostAndPortOnly = host != null && url.equals("http://" + host + ":" + uri.getPort());
            boolean numericHost = hostAndPortOnly
                    && (host.startsWith("[") || IPV4.matcher(host).matches());
            if (!numericHost || uri.getPort() < 1 || uri.getPort() > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(InetAddress.getByName(host), uri.getPort()));
        } catch (URISyntaxException | UnknownHostException e) {
            return Optional.empty();
        }
    }
}
