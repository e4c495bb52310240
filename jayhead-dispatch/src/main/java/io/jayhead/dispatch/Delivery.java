package io.jayhead.dispatch;

import io.jayhead.model.RequestKey;

/**
 * Compares the tokens of the current run with those that the caller has.
 *
 * <p>A rerun starts at token 0. Its first tokens are not delivered again; their digest must equal the digest of what
 * was delivered before a further token goes out. Digests need constant memory, however long the answer is.
 *
 * @param delivered the tokens that the caller has
 * @param deliveredDigest the digest of those tokens
 * @param position the index of the next token of the run
 * @param runDigest the digest of the run's tokens so far
 */
record Delivery(long delivered, String deliveredDigest, long position, String runDigest) {

    private static final String NOTHING = RequestKey.sha256("");

    static Delivery empty() {
        return new Delivery(0, NOTHING, 0, NOTHING);
    }

    Delivery withNewRun() {
        return new Delivery(delivered, deliveredDigest, 0, NOTHING);
    }

    Delivery withToken(String text) {
        String digest = RequestKey.sha256(runDigest + text);
        boolean isNew = position >= delivered;
        return new Delivery(isNew ? delivered + 1 : delivered, isNew ? digest : deliveredDigest, position + 1, digest);
    }

    /** Tells whether the run has repeated all delivered tokens with another text. */
    boolean differs() {
        return position == delivered && !runDigest.equals(deliveredDigest);
    }

    boolean isRepeating() {
        return position < delivered;
    }
}
