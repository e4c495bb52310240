package io.jayhead.daemon.charge;

import io.jayhead.settlement.charge.ChargeEntry;
import java.util.function.Consumer;

/** Tracks the commit of a charge of this router until its result is known. Confined to the control thread. */
final class PendingCommit {

    final ChargeEntry entry;
    boolean done;
    boolean holdRequested;
    boolean sentTwice;
    private final Consumer<ChargeResult> callback;

    PendingCommit(ChargeEntry entry, Consumer<ChargeResult> callback) {
        this.entry = entry;
        this.callback = callback;
    }

    /** Tells whether the first charge of the key is a copy of this charge, written by the owner or by a holder. */
    boolean isOwn(ChargeEntry first) {
        return (sentTwice || holdRequested) && first.equals(entry);
    }

    void complete(ChargeResult result) {
        if (done) {
            return;
        }
        done = true;
        callback.accept(result);
    }
}
