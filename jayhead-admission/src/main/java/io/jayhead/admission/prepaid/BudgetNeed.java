package io.jayhead.admission.prepaid;

import java.util.Set;

/**
 * Describes the tokens that a router wants to take from one budget, or to return to it.
 *
 * @param requiredTokens the tokens that waiting requests need beyond the free ones, 0 if none are missing
 * @param freeTokens the tokens that new requests at the router can still reserve
 * @param tokensPerS the demand of the router in tokens per second, with each request at its largest size
 * @param usedTokensPerS the tokens per second that leave the router, consumed by ended requests or lent
 * @param holderVms the VMs whose routers prefetch tokens of this budget; empty if all routers do
 * @param returnedTokens the tokens to return, which the router has already deducted; 0 if it wants to take tokens
 */
public record BudgetNeed(
        long requiredTokens,
        long freeTokens,
        long tokensPerS,
        long usedTokensPerS,
        Set<String> holderVms,
        long returnedTokens) {

    /** Copies the set. */
    public BudgetNeed {
        holderVms = Set.copyOf(holderVms);
    }

    /**
     * Creates the need of a router whose requests consume all that they reserve, of a budget that all routers prefetch.
     *
     * @param requiredTokens see {@link #requiredTokens()}
     * @param freeTokens see {@link #freeTokens()}
     * @param tokensPerS see {@link #tokensPerS()}
     * @param returnedTokens see {@link #returnedTokens()}
     */
    public BudgetNeed(long requiredTokens, long freeTokens, long tokensPerS, long returnedTokens) {
        this(requiredTokens, freeTokens, tokensPerS, tokensPerS, Set.of(), returnedTokens);
    }

    /**
     * Returns this need with the routers that prefetch.
     *
     * @param vmNames the names of their VMs; empty if all routers prefetch
     * @return the new need
     */
    public BudgetNeed withHolderVms(Set<String> vmNames) {
        return new BudgetNeed(requiredTokens, freeTokens, tokensPerS, usedTokensPerS, vmNames, returnedTokens);
    }

    /**
     * Tells whether the router of a VM prefetches tokens of this budget.
     *
     * @param vmName the name of the VM
     * @return false if it takes only what its waiting requests require
     */
    public boolean isHolder(String vmName) {
        return holderVms.isEmpty() || holderVms.contains(vmName);
    }

    /**
     * Returns the need of a router that only returns tokens.
     *
     * @param tokens the tokens to return
     * @return the need
     */
    public static BudgetNeed returning(long tokens) {
        return new BudgetNeed(0, 0, 0, tokens);
    }

    /**
     * Tells whether the router wants to take tokens.
     *
     * @return false if it only returns tokens
     */
    public boolean wantsTokens() {
        return returnedTokens == 0;
    }
}
