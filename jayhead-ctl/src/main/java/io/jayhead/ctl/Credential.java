package io.jayhead.ctl;

import io.jayhead.ctl.command.UsageException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads the operators' credential; never from the command line, which other users of the same host can see. */
final class Credential {

    static final String VARIABLE = "JAYHEAD_CREDENTIAL";

    /** Printable ASCII without spaces, as required of a bearer token in an HTTP header. */
    private static final Pattern BEARER_TOKEN = Pattern.compile("[!-~]{1,4096}");

    private Credential() {}

    /** Returns the credential from the file if one is given, otherwise from the environment. */
    static String read(Optional<Path> file, Map<String, String> environment) {
        String text = file.map(Credential::readFile)
                .or(() -> Optional.ofNullable(environment.get(VARIABLE)))
                .orElseThrow(
                        () -> new UsageException("this command needs --credential-file or the variable " + VARIABLE))
                .strip();
        if (!BEARER_TOKEN.matcher(text).matches()) {
            throw new UsageException("the credential is empty or has characters that a header cannot hold");
        }
        return text;
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UsageException(file + ": cannot be read: " + e);
        }
    }
}
