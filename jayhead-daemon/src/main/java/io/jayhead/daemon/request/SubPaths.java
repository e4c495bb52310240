package io.jayhead.daemon.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/** Validates the part of a path that a caller appends to the path of a service. */
final class SubPaths {

    /** The separators that servers use; a server may decode them before it splits the path. */
    private static final Pattern SEPARATORS = Pattern.compile("[/\\\\]");

    private SubPaths() {}

    /**
     * Tells whether a path stays below the path that it is appended to. HTTP clients and servers resolve the segments
     * {@code .} and {@code ..} even if they are percent-encoded.
     */
    static boolean isBelow(String encodedPath) {
        try {
            String path = URLDecoder.decode(encodedPath.replace("+", "%2B"), StandardCharsets.UTF_8);
            return Arrays.stream(SEPARATORS.split(path))
                    .noneMatch(segment -> segment.equals(".") || segment.equals(".."));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
