package io.jayhead.load.baseline;

/**
 * Holds the result of one policy with one budget size.
 *
 * @param policy the policy
 * @param budgetShare the paid tokens as a share of the tokens that all generations would use
 * @param requests the number of generations that arrived
 * @param refusals the number of requests refused for lack of tokens
 * @param falseRefusals the number of refusals although ledger and routers together had enough unused tokens
 * @param strandedTokens the unused tokens that routers hold at the end, of budgets that refused a request
 * @param overspendTokens the tokens consumed beyond the paid ones
 * @param consumedTokens the tokens consumed
 * @param ledgerWrites the number of ledger writes, for grants and returns
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
