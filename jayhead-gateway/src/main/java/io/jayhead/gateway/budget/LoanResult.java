package io.jayhead.gateway.budget;

/** The result of a request for loans from other routers. */
enum LoanResult {
    /** The routers have lent the tokens that were needed. */
    COVERED,
    /** The routers that could be asked have lent fewer tokens. */
    NOT_COVERED
}
