package io.jayhead.admission.budget;

/**
 * Records a loan to a peer.
 *
 * @param transferId the id that the borrower chose
 * @param tokens the tokens lent
 */
public record LentTransfer(String transferId, long tokens) {}
