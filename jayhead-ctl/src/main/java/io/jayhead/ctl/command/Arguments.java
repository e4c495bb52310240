package io.jayhead.ctl.command;

import io.jayhead.config.yaml.Formats;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Holds the operands and options of one command.
 *
 * @param operands the operands that follow the name of the command
 * @param expectedVersion the version that a new fleet text replaces; empty means the version in force
 * @param id the id of a top-up; empty means that a new id is generated
 * @param json whether results are printed as JSON
 */
public record Arguments(List<String> operands, OptionalLong expectedVersion, Optional<String> id, boolean json) {

    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");
    private static final Pattern POSITIVE_NUMBER = Pattern.compile("[1-9][0-9]{0,14}");

    /** Copies the operands and checks the id. */
    public Arguments {
        operands = List.copyOf(operands);
        id.ifPresent(text -> requireMatch(ID, text, "--id"));
    }

    /**
     * Returns an operand.
     *
     * @param index the position, from 0
     * @return the operand
     */
    public String operand(int index) {
        return operands.get(index);
    }

    /**
     * Returns an operand that is a name.
     *
     * @param index the position, from 0
     * @return the name
     * @throws UsageException if the operand is not a valid name
     */
    public String name(int index) {
        return Formats.name(operand(index))
                .orElseThrow(() -> new UsageException("expected " + Formats.NAME_RULE + ", found " + operand(index)));
    }

    /**
     * Returns an operand that is the id of a request.
     *
     * @param index the position, from 0
     * @return the id
     * @throws UsageException if the operand is not a valid id
     */
    public String requestId(int index) {
        return requireMatch(ID, operand(index), "REQUEST");
    }

    /**
     * Returns an operand that is a positive number of tokens.
     *
     * @param index the position, from 0
     * @return the number
     * @throws UsageException if the operand is not a positive number of at most 15 digits
     */
    public long tokens(int index) {
        return Long.parseLong(requireMatch(POSITIVE_NUMBER, operand(index), "TOKENS"));
    }

    private static String requireMatch(Pattern pattern, String text, String name) {
        if (!pattern.matcher(text).matches()) {
            throw new UsageException(name + ": expected text that matches " + pattern + ", found " + text);
        }
        return text;
    }
}
