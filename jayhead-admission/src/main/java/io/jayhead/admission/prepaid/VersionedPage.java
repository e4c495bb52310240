package io.jayhead.admission.prepaid;

/**
 * Holds a ledger page with the revision at which it was stored.
 *
 * @param page the content
 * @param revision the revision of the last change; the condition of the next update
 */
public record VersionedPage(LedgerPage page, long revision) {}
