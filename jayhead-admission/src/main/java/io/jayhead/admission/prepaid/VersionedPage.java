package io.jayhead.admission.prepaid;

/**
 * A page as the platform stored it.
 *
 * @param page the content
 * @param revision the revision of the last change; an update names it as its condition
 */
public record VersionedPage(LedgerPage page, long revision) {}
