package io.jayhead.dispatch;

import io.jayhead.model.RequestKey;

/**
 * Compares the tokens of the current run with the tokens that were delivered to the caller.
 *
 * <p>A rerun starts at token 0. Its tokens are not delivered until it has produced as many as were delivered before;
 * the digest of these tokens must equal the digest of the delivered ones before a further token is delivered. Digests
 * take constant memory, however long the answer is.
 *
 * @param delivered the number of tokens that were delivered
 * @param deliveredDigest the digest of the delivered tokens
 * @param position the index of the next token of the run
 * @param runDigest the digest of the tokens of the run so far
 */
record Delivery(long delivered, String deliveredDigest, long position, String runDigest) {

    private static final String EMPTY_DIGEST = RequestKey.sha256("");

    static Delivery empty() {
        return new Delivery(0, EMPTY_DIGEST, 0, EMPTY_DIGEST);
    }

    Delivery withNewRun() {
        return new Delivery(delivered, deliveredDigest, 0, EMPTY_DIGEST);
    }

    Delivery withToken(String text) {
        String digest = RequestKey.sha256(runDigest + text);
        boolean isNew = position >= delivered;
        return new Delivery(isNew ? delivered + 1 : delivered, isNew ? digest : deliveredDigest, position + 1, digest);
    }

    /** Tells whether the run has replayed as many tokens as were delivered, but with another text. */
    boolean hasDiverged() {
        return position == delivered && !runDigest.equals(deliveredDigest);
    }

    boolean isReplaying() {
        return position < delivered;
    }
}
