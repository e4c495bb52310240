package io.jayhead.load;

import java.util.Arrays;

/** Entry point of the load tool. */
public final class LoadMain {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String USAGE = "usage: load run|experiment|baseline [options]";

    private LoadMain() {}

    /**
     * Runs a command and exits.
     *
     * @param arguments the command and its options
     */
    public static void main(String[] arguments) {
        System.exit(execute(arguments));
    }

    private static int execute(String... arguments) {
        try {
            run(arguments);
            return 0;
        } catch (UsageException | IllegalArgumentException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_USAGE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        } catch (RuntimeException e) {
            System.err.println("error: " + e);
            return EXIT_FAILED;
        }
    }

    private static void run(String... arguments) throws InterruptedException {
        if (arguments.length == 0) {
            throw new UsageException(USAGE);
        }
        String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
        switch (arguments[0]) {
            case "run" -> RunCommand.run(System.out, options);
            case "experiment" -> ExperimentCommand.run(options);
            case "baseline" -> BaselineCommand.run(System.out, options);
            default -> throw new UsageException(USAGE);
        }
    }
}
