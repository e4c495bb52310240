package io.jayhead.admission.budget;

/**
 * Records a loan to a peer, so that a repeated request gets the same loan without a second deduction.
 *
 * @param transferId the id that the borrower chose
 * @param tokens the tokens lent
 */
public record LentTransfer(String transferId, long tokens) {}
