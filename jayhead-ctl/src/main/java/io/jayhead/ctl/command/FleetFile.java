package io.jayhead.ctl.command;

import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.fleet.FleetParser;
import io.jayhead.config.yaml.YamlText;
import io.jayhead.model.Either;
import io.jayhead.model.fleet.FleetSpec;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;

/**
 * Holds a valid fleet text that was read from a file.
 *
 * @param text the text
 * @param spec the parsed text
 */
record FleetFile(String text, FleetSpec spec) {

    static Either<List<ConfigProblem>, FleetFile> read(String name) {
        String text = readText(name);
        return FleetParser.parse(text).map(spec -> new FleetFile(text, spec));
    }

    private static String readText(String name) {
        try {
            Path path = Path.of(name);
            if (Files.size(path) > YamlText.MAX_BYTES) {
                throw new UsageException(name + ": larger than " + YamlText.MAX_BYTES + " bytes");
            }
            return Files.readString(path);
        } catch (CharacterCodingException e) {
            throw new UsageException(name + ": not UTF-8");
        } catch (IOException | InvalidPathException e) {
            throw new UsageException(name + ": cannot be read: " + e);
        }
    }
}
