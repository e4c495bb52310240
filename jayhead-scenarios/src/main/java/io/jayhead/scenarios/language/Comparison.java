package io.jayhead.scenarios.language;

/** Compares a count with an expected number. */
public enum Comparison {
    /** The count equals the number. */
    EQUAL("=") {
        @Override
        public boolean holds(long actual, long expected) {
            return actual == expected;
        }
    },
    /** The count is at most the number. */
    AT_MOST("<=") {
        @Override
        public boolean holds(long actual, long expected) {
            return actual <= expected;
        }
    },
    /** The count is at least the number. */
    AT_LEAST(">=") {
        @Override
        public boolean holds(long actual, long expected) {
            return actual >= expected;
        }
    };

    private final String symbol;

    Comparison(String symbol) {
        this.symbol = symbol;
    }

    /** Returns the symbol in scenario files. */
    public String symbol() {
        return symbol;
    }

    /**
     * Tells whether a count satisfies the comparison.
     *
     * @param actual the measured count
     * @param expected the number in the scenario
     * @return whether the comparison holds
     */
    public abstract boolean holds(long actual, long expected);
}
