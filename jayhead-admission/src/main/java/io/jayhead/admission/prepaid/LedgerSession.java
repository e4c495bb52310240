package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * One router's view of one page; an immutable value.
 *
 * <p>Answers may be lost, and an update without an answer may still take effect while the page has its base revision.
 * The session therefore trusts only pages that it has read: tokens count as taken once a page shows them, and returned
 * tokens are written off before the update is sent.
 *
 * @param holder this incarnation of the router
 * @param known the newest page read
 * @param pendingReturns returns that no page shows yet, by organisation
 * @param inFlight the update that was sent last and may still take effect
 */
public record LedgerSession(
        Holder holder, VersionedPage known, Map<String, Long> pendingReturns, Optional<LedgerUpdate> inFlight) {

    /** The revision of a page that was never read. */
    public static final long UNREAD = -1;

    /** Copies the map. */
    public LedgerSession {
        pendingReturns = Map.copyOf(pendingReturns);
    }

    /**
     * Returns a session that has read nothing.
     *
     * @param holder this incarnation of the router
     * @return the session
     */
    public static LedgerSession of(Holder holder) {
        return new LedgerSession(holder, new VersionedPage(LedgerPage.empty(), UNREAD), Map.of(), Optional.empty());
    }

    /**
     * Tells whether a page was read.
     *
     * @return true once there is a page
     */
    public boolean isRead() {
        return known.revision() != UNREAD;
    }

    /**
     * Returns what this router may spend in total.
     *
     * @param organisation the organisation
     * @return the tokens taken, less those given back
     */
    public long ownTokens(String organisation) {
        return known.page().taken(organisation, holder.name()) - pendingReturns.getOrDefault(organisation, 0L);
    }

    /**
     * Returns what no router has taken, as far as known.
     *
     * @param organisation the organisation
     * @param prepaidTokens the size of the budget
     * @return the tokens left
     */
    public long leftTokens(String organisation, long prepaidTokens) {
        return prepaidTokens - known.page().takenByAll(organisation);
    }

    /**
     * Writes tokens off that are to be given back.
     *
     * @param organisation the organisation
     * @param tokens the tokens
     * @return the new session
     */
    public LedgerSession withReturn(String organisation, long tokens) {
        Map<String, Long> returns = new HashMap<>(pendingReturns);
        returns.merge(organisation, tokens, Long::sum);
        return new LedgerSession(holder, known, returns, inFlight);
    }

    /**
     * Returns the next update.
     *
     * @param needs what the router wants, by organisation
     * @param prepaid returns the size of a budget; empty if the budget has no limit or is unknown
     * @param aheadLimitS the demand that the router may hold ahead, in seconds
     * @return the update, or empty if the page would not change
     */
    public Optional<LedgerUpdate> nextUpdate(
            Map<String, BudgetNeed> needs, Function<String, OptionalLong> prepaid, double aheadLimitS) {
        LedgerPage page = known.page();
        for (String organisation : pendingReturns.keySet()) {
            page = page.with(organisation, holder.name(), new LedgerEntry(ownTokens(organisation), 0));
        }
        for (Map.Entry<String, BudgetNeed> entry : needs.entrySet()) {
            String organisation = entry.getKey();
            OptionalLong size = prepaid.apply(organisation);
            if (size.isPresent() && !pendingReturns.containsKey(organisation)) {
                page = withTaken(page, organisation, entry.getValue(), size.getAsLong(), aheadLimitS);
            }
        }
        if (page.equals(known.page())) {
            return Optional.empty();
        }
        return Optional.of(new LedgerUpdate(page, known.revision(), pendingReturns));
    }

    private LedgerPage withTaken(
            LedgerPage page, String organisation, BudgetNeed need, long prepaidTokens, double aheadLimitS) {
        long left = leftTokens(organisation, prepaidTokens);
        long others = page.demandOfOthers(organisation, holder.vmName());
        long tokens = GrantRule.tokensToTake(need, left, others, aheadLimitS);
        if (tokens <= 0) {
            return page;
        }
        long taken = page.taken(organisation, holder.name()) + tokens;
        return page.with(organisation, holder.name(), new LedgerEntry(taken, need.tokensPerS()));
    }

    /**
     * Records that an update is being sent.
     *
     * @param update the update
     * @return the new session
     */
    public LedgerSession sending(LedgerUpdate update) {
        return new LedgerSession(holder, known, pendingReturns, Optional.of(update));
    }

    /**
     * Takes a page over that the platform has sent.
     *
     * @param read the page
     * @return the new session
     */
    public LedgerSession read(VersionedPage read) {
        if (read.revision() <= known.revision()) {
            return this;
        }
        boolean applied = inFlight.isPresent() && showsUpdate(read.page(), inFlight.get());
        Map<String, Long> returns = new HashMap<>(pendingReturns);
        if (applied) {
            inFlight.get()
                    .returnedTokens()
                    .forEach((organisation, tokens) -> returns.computeIfPresent(
                            organisation, (name, open) -> open > tokens ? open - tokens : null));
        }
        return new LedgerSession(holder, read, returns, Optional.empty());
    }

    private boolean showsUpdate(LedgerPage page, LedgerUpdate update) {
        return update.page().entries().keySet().stream()
                .allMatch(organisation ->
                        page.taken(organisation, holder.name()) == update.page().taken(organisation, holder.name()));
    }
}
