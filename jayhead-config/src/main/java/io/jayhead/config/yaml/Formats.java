package io.jayhead.config.yaml;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Recognises the formats that fleet text and settings share. */
public final class Formats {

    /** What a name should look like. */
    public static final String NAME_RULE = "a name of 1 to 64 letters, digits, - and _";

    /** What a name of weights, an adapter or a model should look like. */
    public static final String ARTIFACT_RULE = "a name of 1 to 64 letters, digits, '.', - and _";

    /** What an address of an upstream or the platform should look like. */
    public static final String URL_RULE = "an http URL with an IP number and a port, such as http://127.0.0.1:9000";

    /** What a listen address should look like. */
    public static final String ENDPOINT_RULE = "an IP number and a port, such as 127.0.0.1:8001";

    /** What a digest should look like. */
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
     * Accepts a name.
     *
     * @param text the text
     * @return the name, or empty if it is none
     */
    public static Optional<String> name(String text) {
        return Optional.of(text).filter(value -> NAME.matcher(value).matches());
    }

    /**
     * Accepts a name of weights, an adapter or a model; these may carry a version with dots.
     *
     * @param text the text
     * @return the name, or empty if it is none
     */
    public static Optional<String> artifactName(String text) {
        return Optional.of(text).filter(value -> ARTIFACT.matcher(value).matches());
    }

    /**
     * Accepts an http URL that consists of an IP number and a port.
     *
     * @param text the text
     * @return the URL, or empty if it is none
     */
    public static Optional<String> httpUrl(String text) {
        return text.startsWith("http://") ? authority(text).map(address -> text) : Optional.empty();
    }

    /**
     * Accepts an IP number and a port.
     *
     * @param text the text
     * @return the address, or empty if it is none
     */
    public static Optional<InetSocketAddress> endpoint(String text) {
        return authority("http://" + text);
    }

    private static Optional<InetSocketAddress> authority(String url) {
        if (url.length() > MAX_ADDRESS_CHARACTERS) {
            return Optional.empty();
        }
        try {
            URI uri = new URI(url);
            String host = uri.getHost();
            boolean bare = host != null && url.equals("http://" + host + ":" + uri.getPort());
            boolean numeric =
                    bare && (host.startsWith("[") || IPV4.matcher(host).matches());
            if (!numeric || uri.getPort() < 1 || uri.getPort() > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(InetAddress.getByName(host), uri.getPort()));
        } catch (URISyntaxException | UnknownHostException e) {
            return Optional.empty();
        }
    }
}
