package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Holds the state of one router for reading and updating one ledger page; immutable.
 *
 * <p>Replies may be lost, and an update without a reply may still take effect while the page has its base revision. The
 * session therefore relies only on pages that it has read: tokens count as taken once a page contains them, and
 * returned tokens are deducted before the update is sent.
 *
 * @param holder this incarnation of the router
 * @param latestPage the newest page read, with revision {@link #UNREAD} if there is none
 * @param pendingReturns the tokens to return that are not yet returned in the latest page, by organisation
 * @param inFlight the update that was sent last and may still take effect, empty if there is none
 * @param carriedTokens the total tokens that this router had taken before the platform came back from an older copy, by
 *     organisation; they replace its entry in the latest page until a page contains them
 */
public record LedgerSession(
        Holder holder,
        VersionedPage latestPage,
        Map<String, Long> pendingReturns,
        Optional<LedgerUpdate> inFlight,
        Map<String, Long> carriedTokens) {

    /** The revision of a session that has not read a page. */
    public static final long UNREAD = -1;

    /** Copies the maps. */
    public LedgerSession {
        pendingReturns = Map.copyOf(pendingReturns);
        carriedTokens = Map.copyOf(carriedTokens);
    }

    /**
     * Returns a session that has not read a page.
     *
     * @param holder this incarnation of the router
     * @return the session
     */
    public static LedgerSession of(Holder holder) {
        VersionedPage unread = new VersionedPage(LedgerPage.empty(), UNREAD);
        return new LedgerSession(holder, unread, Map.of(), Optional.empty(), Map.of());
    }

    /**
     * Records that the platform came back from an older copy. The router keeps what it has taken; an update in flight
     * counts as not applied, since its answer is not accepted any more.
     *
     * @return a session that must read the page of the new era
     */
    public LedgerSession restored() {
        LedgerPage known = knownPage();
        Map<String, Long> carried = new HashMap<>();
        for (String organisation : known.entries().keySet()) {
            if (known.entries().get(organisation).containsKey(holder.name())) {
                carried.put(organisation, ownTokens(organisation));
            }
        }
        return new LedgerSession(holder, new VersionedPage(known, UNREAD), Map.of(), Optional.empty(), carried);
    }

    /**
     * Returns the latest page with the entries of this router as they should be.
     *
     * @return the page, with the carried tokens and without the pending returns
     */
    public LedgerPage knownPage() {
        LedgerPage page = latestPage.page();
        for (Map.Entry<String, Long> carried : carriedTokens.entrySet()) {
            long tokensPerS = page.entry(carried.getKey(), holder.name()).tokensPerS();
            page = page.with(carried.getKey(), holder.name(), new LedgerEntry(carried.getValue(), tokensPerS));
        }
        for (String organisation : pendingReturns.keySet()) {
            page = page.with(organisation, holder.name(), new LedgerEntry(ownTokens(organisation), 0));
        }
        return page;
    }

    /**
     * Tells whether the stored entries of this router must be corrected.
     *
     * @return true if the latest page lacks returned or carried tokens
     */
    public boolean needsCorrection() {
        return !pendingReturns.isEmpty() || !carriedTokens.isEmpty();
    }

    /**
     * Tells whether a page was read.
     *
     * @return false until the session has read its first page
     */
    public boolean isRead() {
        return latestPage.revision() != UNREAD;
    }

    /**
     * Returns the total tokens that this router may spend, including those already spent.
     *
     * @param organisation the organisation
     * @return the tokens taken in the latest page, minus the pending returns
     */
    public long ownTokens(String organisation) {
        long takenTokens = carriedTokens.containsKey(organisation)
                ? carriedTokens.get(organisation)
                : latestPage.page().takenTokens(organisation, holder.name());
        return takenTokens - pendingReturns.getOrDefault(organisation, 0L);
    }

    /**
     * Returns the tokens that no router has taken in the latest page.
     *
     * @param organisation the organisation
     * @param prepaidTokens the size of the budget
     * @return the tokens left, negative if the budget is overdrawn
     */
    public long leftTokens(String organisation, long prepaidTokens) {
        long uncorrectedTokens = latestPage.page().takenTokens(organisation, holder.name());
        long carriedBeyond = carriedTokens.getOrDefault(organisation, uncorrectedTokens) - uncorrectedTokens;
        return prepaidTokens - latestPage.page().totalTakenTokens(organisation) - carriedBeyond;
    }

    /**
     * Deducts tokens that the next update will return.
     *
     * @param organisation the organisation
     * @param tokens the tokens to return, in addition to pending returns
     * @return the new session
     */
    public LedgerSession withReturn(String organisation, long tokens) {
        Map<String, Long> nextReturns = new HashMap<>(pendingReturns);
        nextReturns.merge(organisation, tokens, Long::sum);
        return new LedgerSession(holder, latestPage, nextReturns, inFlight, carriedTokens);
    }

    /**
     * Returns the next update, which contains all pending returns and takes tokens for the other budgets. Of a budget
     * without any entry, it also writes off what unknown routers may have taken, see {@link LedgerPage#unknownVms}.
     *
     * @param needs the needs of the router, by organisation
     * @param prepaidTokensOf returns the size of a budget; empty if the budget has no limit or is unknown
     * @param prefetchLimitS the seconds of its demand that the router may prefetch
     * @return the update, or empty if the page would not change
     */
    public Optional<LedgerUpdate> nextUpdate(
            Map<String, BudgetNeed> needs, Function<String, OptionalLong> prepaidTokensOf, double prefetchLimitS) {
        LedgerPage page = knownPage();
        for (Map.Entry<String, BudgetNeed> entry : needs.entrySet()) {
            String organisation = entry.getKey();
            OptionalLong prepaidTokens = prepaidTokensOf.apply(organisation);
            if (prepaidTokens.isPresent() && !pendingReturns.containsKey(organisation)) {
                page = withTaken(page, organisation, entry.getValue(), prepaidTokens.getAsLong(), prefetchLimitS);
            }
        }
        if (page.equals(latestPage.page())) {
            return Optional.empty();
        }
        return Optional.of(new LedgerUpdate(page, latestPage.revision(), pendingReturns));
    }

    private LedgerPage withTaken(
            LedgerPage page, String organisation, BudgetNeed need, long prepaidTokens, double prefetchLimitS) {
        LedgerPage base =
                page.isUnknown(organisation) ? withUnknownTokens(page, organisation, need, prepaidTokens) : page;
        long writtenOffTokens = base.totalTakenTokens(organisation) - page.totalTakenTokens(organisation);
        long leftTokens = leftTokens(organisation, prepaidTokens) - writtenOffTokens;
        long otherTokensPerS = base.otherVmsTokensPerS(organisation, holder.vmName(), need::isHolder);
        double limitS = need.isHolder(holder.vmName()) ? prefetchLimitS : 0;
        long tokens = GrantRule.tokensToTake(need, leftTokens, otherTokensPerS, limitS);
        if (tokens <= 0) {
            return base;
        }
        long takenTokens = base.takenTokens(organisation, holder.name()) + tokens;
        return base.with(organisation, holder.name(), new LedgerEntry(takenTokens, need.tokensPerS()));
    }

    /** Writes off what unknown incarnations may have taken, if their demand was like that of this router. */
    private static LedgerPage withUnknownTokens(
            LedgerPage page, String organisation, BudgetNeed need, long prepaidTokens) {
        long tokensPerS = Math.max(need.tokensPerS(), need.requiredTokens());
        LedgerPage next = page;
        for (String vmName : page.unknownVms()) {
            long leftTokens = prepaidTokens - next.totalTakenTokens(organisation);
            long tokens = GrantRule.mostTokensSinceCopy(tokensPerS, leftTokens);
            next = next.with(organisation, Holder.unknown(vmName).name(), new LedgerEntry(tokens, 0));
        }
        return next;
    }

    /**
     * Records that an update is sent.
     *
     * @param update the update
     * @return the new session
     */
    public LedgerSession withInFlight(LedgerUpdate update) {
        return new LedgerSession(holder, latestPage, pendingReturns, Optional.of(update), carriedTokens);
    }

    /**
     * Records a page that was read, and removes the returns that it contains from the pending ones.
     *
     * @param versionedPage the page; one that is not newer than the latest page changes nothing
     * @return the new session
     */
    public LedgerSession withPage(VersionedPage versionedPage) {
        if (versionedPage.revision() <= latestPage.revision()) {
            return this;
        }
        boolean applied = inFlight.isPresent() && containsUpdate(versionedPage.page(), inFlight.get());
        Map<String, Long> remainingReturns = new HashMap<>(pendingReturns);
        if (applied) {
            inFlight.get()
                    .returnedTokens()
                    .forEach((organisation, tokens) -> remainingReturns.computeIfPresent(
                            organisation,
                            (name, pendingTokens) -> pendingTokens > tokens ? pendingTokens - tokens : null));
        }
        Map<String, Long> uncorrected = applied ? Map.of() : uncorrectedTokens(versionedPage.page());
        return new LedgerSession(holder, versionedPage, remainingReturns, Optional.empty(), uncorrected);
    }

    private Map<String, Long> uncorrectedTokens(LedgerPage page) {
        Map<String, Long> uncorrected = new HashMap<>(carriedTokens);
        uncorrected
                .entrySet()
                .removeIf(carried -> page.takenTokens(carried.getKey(), holder.name()) == carried.getValue());
        return uncorrected;
    }

    private boolean containsUpdate(LedgerPage page, LedgerUpdate update) {
        return update.page().entries().keySet().stream()
                .allMatch(organisation -> page.takenTokens(organisation, holder.name())
                        == update.page().takenTokens(organisation, holder.name()));
    }
}
