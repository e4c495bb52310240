import java.nio.file.Path;

/** Runs one case: ends the process with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
abstract class Case {

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Fleet fleet;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    final void run(String[] arguments) {
        int status = 2;
        try {
            record = new Record(Path.of(arguments[0]));
            record.add("disruption " + (trouble ? "on" : "off"));
            fleet = new Fleet();
            boolean held = play();
            record.end(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Throwable failure) {
            failure.printStackTrace();
            if (record != null) {
                record.end("the case could not run: " + failure);
            }
        }
        try {
            fleet.end();
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }
}
