package io.jayhead.ctl;

import io.jayhead.ctl.command.Console;

/** Starts the command line tool jayheadctl. */
public final class JayheadctlMain {

    private JayheadctlMain() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param args the command line arguments
     */
    public static void main(String[] args) {
        Console console = new Console(System.out, System.err);
        System.exit(new Jayheadctl(console, System.getenv()).run(args).status());
    }
}
