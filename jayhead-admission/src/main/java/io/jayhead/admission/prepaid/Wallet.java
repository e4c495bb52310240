package io.jayhead.admission.prepaid;

/**
 * What one router may still spend of one budget; an immutable value.
 *
 * @param ownTokens what the ledger says that this router may spend in total
 * @param consumedTokens what ended requests have consumed
 * @param reservedTokens what open requests may consume at most
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
     * @return the tokens
     */
    public long freeTokens() {
        return ownTokens - consumedTokens - reservedTokens;
    }

    /**
     * Takes a new total over.
     *
     * @param tokens what this router may spend in total
     * @return the new wallet
     */
    public Wallet withOwn(long tokens) {
        return new Wallet(tokens, consumedTokens, reservedTokens);
    }

    /**
     * Reserves the most that a request can consume.
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
     * Settles a reservation.
     *
     * @param reserved the tokens that were reserved
     * @param consumed the tokens that the request consumed, at most those reserved
     * @return the new wallet
     */
    public Wallet settle(long reserved, long consumed) {
        long billed = Math.max(0, Math.min(reserved, consumed));
        return new Wallet(ownTokens, consumedTokens + billed, reservedTokens - reserved);
    }
}
