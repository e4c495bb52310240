package io.jayhead.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Declares and parses command-line options. */
final class CommandLine {

    private CommandLine() {}

    static OptionParser parser() {
        OptionParser parser = new OptionParser();
        parser.recognizeAlternativeLongOptions(false);
        return parser;
    }

    static OptionSpec<String> text(OptionParser parser, String name, String description) {
        return parser.accepts(name, description).withRequiredArg();
    }

    static OptionSpec<String> list(OptionParser parser, String name, String description) {
        return parser.accepts(name, description).withRequiredArg().withValuesSeparatedBy(',');
    }

    static OptionSpec<Long> number(OptionParser parser, String name, String description, long defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(defaultValue);
    }

    static OptionSpec<Double> decimal(OptionParser parser, String name, String description, double defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(defaultValue);
    }

    static OptionSet parse(OptionParser parser, String... arguments) {
        try {
            OptionSet options = parser.parse(arguments);
            if (!options.nonOptionArguments().isEmpty()) {
                throw new UsageException(
                        "unexpected argument: " + options.nonOptionArguments().get(0));
            }
            // JOpt Simple converts values on access. Accessing all of them here reports values of a wrong type early.
            options.asMap();
            return options;
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
    }

    static <T> T required(OptionSet options, OptionSpec<T> option, String name) {
        if (!options.has(option)) {
            throw new UsageException("missing option --" + name);
        }
        return options.valueOf(option);
    }

    /** Reads a credential from a file; returns an empty text if the name of the file is null. */
    static String readCredential(String file) {
        try {
            return file == null ? "" : Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new UsageException("cannot read the credential file: " + e.getMessage());
        }
    }
}
