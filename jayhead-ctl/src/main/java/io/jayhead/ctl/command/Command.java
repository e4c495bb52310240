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
    /** Compares a fleet text with the fleet text in force. */
    DIFF("FILE", Set.of()) {
        @Override
        public ExitCode run(Session session) {
            return FleetCommands.diff(session);
        }
    },
    /** Replaces the fleet text in force. */
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
     * Returns the name that is used on the command line.
     *
     * @return the name in lower case
     */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the usage line.
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
     * Returns the command-specific options that this command accepts.
     *
     * @return the names of the options, without leading dashes
     */
    public Set<String> options() {
        return options;
    }

    /**
     * Runs the command.
     *
     * @param session the arguments, the console and the routers
     * @return the exit code
     */
    public abstract ExitCode run(Session session);
}
