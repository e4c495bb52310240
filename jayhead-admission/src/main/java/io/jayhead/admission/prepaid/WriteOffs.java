package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;

/** Collects the tokens that are written off for incarnations which may have taken more than is known of them. */
final class WriteOffs {

    private final Map<String, Map<String, Long>> tokens = new HashMap<>();
    private long totalTokens;

    void add(String organisation, Holder holder, long writtenOffTokens) {
        if (writtenOffTokens <= 0) {
            return;
        }
        tokens.computeIfAbsent(organisation, name -> new HashMap<>()).merge(holder.name(), writtenOffTokens, Long::sum);
        totalTokens += writtenOffTokens;
    }

    /** Returns the pages with the collected tokens added to the entries of their holders. */
    RebuiltLedger applyTo(LedgerPage page) {
        Map<String, Map<String, LedgerEntry>> entries = new HashMap<>(page.entries());
        tokens.forEach((organisation, byHolder) -> {
            Map<String, LedgerEntry> holders = new HashMap<>(entries.getOrDefault(organisation, Map.of()));
            byHolder.forEach((holder, added) ->
                    holders.put(holder, new LedgerEntry(page.takenTokens(organisation, holder) + added, 0)));
            entries.put(organisation, holders);
        });
        return new RebuiltLedger(new LedgerPage(entries, page.unknownVms()), totalTokens);
    }
}
