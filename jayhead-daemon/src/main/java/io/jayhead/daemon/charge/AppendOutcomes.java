package io.jayhead.daemon.charge;

import io.jayhead.peer.pb.AppendOutcome;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeOutcome;

/** Converts the outcome of a charge to the message for the router that sent it. */
final class AppendOutcomes {

    private AppendOutcomes() {}

    static AppendOutcome toMessage(ChargeOutcome outcome) {
        if (outcome instanceof ChargeOutcome.Committed) {
            return AppendOutcome.newBuilder()
                    .setStatus(AppendOutcome.Status.COMMITTED)
                    .build();
        }
        if (outcome instanceof ChargeOutcome.Duplicate duplicate) {
            return AppendOutcome.newBuilder()
                    .setStatus(AppendOutcome.Status.DUPLICATE)
                    .setFirstEntry(ChargeBatchCodec.encodeEntry(duplicate.first()))
                    .build();
        }
        return AppendOutcome.newBuilder().setStatus(AppendOutcome.Status.HELD).build();
    }
}
