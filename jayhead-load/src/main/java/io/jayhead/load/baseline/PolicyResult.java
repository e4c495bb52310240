package io.jayhead.load.baseline;

/**
 * Holds the figures of one policy.
 *
 * @param policy the policy
 * @param budgetShare the paid tokens as a share of the demand
 * @param requests the generations that arrived
 * @param refusals the requests refused for lack of tokens
 * @param falseRefusals the refusals while ledger and routers together had enough unused tokens
 * @param strandedTokens the tokens left at routers in budgets that refused a request
 * @param overspendTokens the tokens consumed above the paid ones
 * @param consumedTokens the tokens consumed
 * @param ledgerWrites the writes of grants and returns
 */
public record PolicyResult(
        BudgetPolicy policy,
        double budgetShare,
        long requests,
        long refusals,
        long falseRefusals,
        long strandedTokens,
        long overspendTokens,
        long consumedTokens,
        long ledgerWrites) {}
