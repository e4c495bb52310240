package io.jayhead.load.audit;

import java.util.Locale;

/** Lists the checks of a run. Each counts violations; the count of a correct fleet is 0. */
public enum Check {
    /** Tokens consumed beyond the paid ones, by the ledger or by the charge log, whichever shows more. */
    OVERSPEND_TOKENS,
    /**
     * Refusals for lack of tokens although the tokens left at the end of the run cover the worst case of the request.
     */
    FALSE_REFUSALS,
    /** Answers with the outcome {@code WRONG}. */
    WRONG_ANSWERS,
    /** Executions of an order beyond its first. */
    DOUBLE_EXECUTIONS,
    /** Executed bookings although every send was refused or reached no router. */
    EXECUTED_THOUGH_REFUSED,
    /** Bookings with a whole answer that no booking service executed. */
    MISSING_EXECUTIONS,
    /** Charges of a request beyond its first. */
    DOUBLE_BILLS,
    /** Whole answers to generations and bookings without a charge. */
    MISSING_BILLS,
    /** Whole answers to generations whose charge differs from the tokens that the answer reports. */
    DIFFERENT_BILLS;

    /**
     * Returns the name in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
