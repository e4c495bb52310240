package io.jayhead.daemon.budget;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.admission.budget.BudgetLedger;

/** Reads and writes the ledger of a budget as JSON. */
public final class LedgerCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LedgerCodec() {}

    /**
     * Writes a ledger.
     *
     * @param ledger the ledger
     * @return the content of the platform object
     */
    public static String encode(BudgetLedger ledger) {
        try {
            return MAPPER.writeValueAsString(ledger);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("ledger cannot be written: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads a ledger.
     *
     * @param json the content of the platform object
     * @return the ledger
     * @throws IllegalArgumentException if the content is not a ledger
     */
    public static BudgetLedger decode(String json) {
        try {
            return MAPPER.readValue(json, BudgetLedger.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a ledger: " + e.getOriginalMessage(), e);
        }
    }
}
