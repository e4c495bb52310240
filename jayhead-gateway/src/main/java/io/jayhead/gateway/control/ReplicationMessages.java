package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.ReplicateEntries;
import io.jayhead.peer.pb.ReplicateEntriesReply;
import io.jayhead.peer.pb.ReplicatedEntry;
import java.util.HashMap;
import java.util.Map;

/** Translates replicated ledger entries to peer messages and back. */
final class ReplicationMessages {

    private ReplicationMessages() {}

    static Frame request(String holder, Map<String, LedgerEntry> entries) {
        ReplicateEntries.Builder message = ReplicateEntries.newBuilder().setHolder(holder);
        entries.forEach((organisation, entry) -> message.addEntries(ReplicatedEntry.newBuilder()
                .setOrganisation(organisation)
                .setTakenTokens(entry.takenTokens())
                .setTokensPerS(entry.tokensPerS())));
        return Frame.newBuilder().setReplicateEntries(message).build();
    }

    static Frame reply(String receiver) {
        return Frame.newBuilder()
                .setReplicateEntriesReply(ReplicateEntriesReply.newBuilder().setHolder(receiver))
                .build();
    }

    static Map<String, LedgerEntry> entries(ReplicateEntries message) {
        Map<String, LedgerEntry> entries = new HashMap<>();
        for (ReplicatedEntry entry : message.getEntriesList()) {
            entries.put(entry.getOrganisation(), new LedgerEntry(entry.getTakenTokens(), entry.getTokensPerS()));
        }
        return entries;
    }
}
