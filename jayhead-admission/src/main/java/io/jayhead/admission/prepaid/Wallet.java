package io.jayhead.admission.prepaid;

/**
 * Holds the balance of one budget at one router; immutable.
 *
 * @param ownTokens the total tokens that this router may spend, including those already consumed
 * @param consumedTokens the tokens consumed by ended requests
 * @param reservedTokens the most tokens that requests in flight may consume
 */
public record Wallet(long ownTokens, long consumedTokens, long reservedTokens) {

    /**
     * Returns a wallet without tokens.
     *
     * @return the wallet
     */
    public static Wallet empty() {
        return new Wallet(0, 0, 0);
    }

    /**
     * Returns the tokens that new requests may reserve.
     *
     * @return the free tokens; negative if the own tokens were lowered below the consumed and reserved ones
     */
    public long freeTokens() {
        return ownTokens - consumedTokens - reservedTokens;
    }

    /**
     * Replaces the total tokens that this router may spend.
     *
     * @param tokens the new total, including the tokens already consumed
     * @return the new wallet
     */
    public Wallet withOwnTokens(long tokens) {
        return new Wallet(tokens, consumedTokens, reservedTokens);
    }

    /**
     * Reserves the most tokens that a request may consume.
     *
     * @param tokens the tokens
     * @return the new wallet
     * @throws IllegalStateException if fewer tokens are free
     */
    public Wallet reserve(long tokens) {
        if (tokens > freeTokens()) {
            throw new IllegalStateException(tokens + " tokens exceed the " + freeTokens() + " free ones");
        }
        return new Wallet(ownTokens, consumedTokens, reservedTokens + tokens);
    }

    /**
     * Ends a reservation and counts the consumed tokens.
     *
     * @param reserved the tokens that were reserved
     * @param consumed the tokens that the request consumed, limited to those reserved
     * @return the new wallet
     */
    public Wallet settle(long reserved, long consumed) {
        long billed = Math.max(0, Math.min(reserved, consumed));
        return new Wallet(ownTokens, consumedTokens + billed, reservedTokens - reserved);
    }
}
