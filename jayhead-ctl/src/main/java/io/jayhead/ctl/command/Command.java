package io.jayhead.ctl.command;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Lists the commands with their operands and options. */
public enum Command {
    /** Checks a fleet text without a router. */
    VALIDATE("FILE", Set.of()) {
        @Override
        public ExitCode run(Session session) {
            return FleetCommands.validate(session);
        }
    },
    /** Compares a fleet text with the one in force. */
    DIFF("FILE", Set.of()) {
        @Override
        public ExitCode run(Session session) {
            return FleetCommands.diff(session);
        }
    },
    /** Puts a fleet text in force. */
    APPLY("FILE", Set.of("expected-version")) {
        @Override
        public ExitCode run(Session session) {
            return ApplyCommand.run(session);
        }
    },
    /** Shows the state of a router. */
    STATUS("", Set.of("json")) {
        @Override
        public ExitCode run(Session session) {
            return QueryCommands.status(session);
        }
    },
    /** Adds paid tokens to a budget. */
    TOPUP("ORGANISATION BUDGET TOKENS", Set.of("id")) {
        @Override
        public ExitCode run(Session session) {
            return TopUpCommand.run(session);
        }
    },
    /** Shows the ledger of a budget. */
    BUDGET("ORGANISATION BUDGET", Set.of("json")) {
        @Override
        public ExitCode run(Session session) {
            return QueryCommands.budget(session);
        }
    },
    /** Explains what happened to a request. */
    EXPLAIN("REQUEST", Set.of("json")) {
        @Override
        public ExitCode run(Session session) {
            return QueryCommands.explain(session);
        }
    },
    /** Explains a request from collected log files. */
    TRACE("REQUEST LOGS", Set.of()) {
        @Override
        public ExitCode run(Session session) {
            return TraceCommand.run(session);
        }
    };

    private final String operands;
    private final Set<String> options;

    Command(String operands, Set<String> options) {
        this.operands = operands;
        this.options = options;
    }

    /**
     * Finds a command by its name.
     *
     * @param text the name in lower case
     * @return the command, or empty if there is none
     */
    public static Optional<Command> parse(String text) {
        return Stream.of(values())
                .filter(command -> command.commandName().equals(text))
                .findFirst();
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name in lower case
     */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the usage.
     *
     * @return the name and the operands
     */
    public String usage() {
        return (commandName() + " " + operands).strip();
    }

    /**
     * Returns the number of operands.
     *
     * @return the number
     */
    public int operandCount() {
        return operands.isEmpty() ? 0 : operands.split(" ").length;
    }

    /**
     * Returns the options that only some commands accept and that this one does.
     *
     * @return the names of the options
     */
    public Set<String> options() {
        return options;
    }

    /**
     * Runs the command.
     *
     * @param session what the command runs with
     * @return the exit code
     */
    public abstract ExitCode run(Session session);
}
