package io.jayhead.load.audit;

import java.util.Locale;

/** Names the checks of a run; each has a count, which a correct fleet keeps at 0. */
public enum Check {
    /** Tokens consumed above the paid ones, by ledger or by charges, whichever is larger. */
    OVERSPEND_TOKENS,
    /** Refusals for lack of tokens whose worst case is not above what was left at the end. */
    FALSE_REFUSALS,
    /** Answers with another text than the engine produces. */
    WRONG_ANSWERS,
    /** Executions of bookings beyond the first. */
    DOUBLE_EXECUTIONS,
    /** Bookings of which every send was answered as not run and that were executed. */
    EXECUTED_THOUGH_REFUSED,
    /** Bookings answered whole that no booking service executed. */
    MISSING_EXECUTIONS,
    /** Charges beyond the first of a request. */
    DOUBLE_BILLS,
    /** Whole answers without a charge. */
    MISSING_BILLS,
    /** Whole answers charged with other tokens than the answer states. */
    DIFFERENT_BILLS;

    /**
     * Returns the name in reports.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
