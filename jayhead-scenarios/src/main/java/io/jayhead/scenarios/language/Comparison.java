package io.jayhead.scenarios.language;

/** Compares a count with an expected number. */
public enum Comparison {
    /** Exactly the number. */
    EQUAL("=") {
        @Override
        public boolean holds(long actual, long expected) {
            return actual == expected;
        }
    },
    /** At most the number. */
    AT_MOST("<=") {
        @Override
        public boolean holds(long actual, long expected) {
            return actual <= expected;
        }
    },
    /** At least the number. */
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
     * Compares.
     *
     * @param actual the count found
     * @param expected the number of the scenario
     * @return whether the comparison holds
     */
    public abstract boolean holds(long actual, long expected);
}
