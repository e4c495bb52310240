package io.jayhead.daemon.budget;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.admission.budget.BudgetLedger;

/** Encodes and decodes the ledger of a budget as JSON. */
public final class LedgerCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LedgerCodec() {}

    /**
     * Encodes a ledger.
     *
     * @param ledger the ledger
     * @return the body of the platform object, in JSON
     * @throws IllegalArgumentException if the ledger cannot be serialised
     */
    public static String encode(BudgetLedger ledger) {
        try {
            return MAPPER.writeValueAsString(ledger);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode budget ledger as JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Decodes a ledger.
     *
     * @param json the body of the platform object
     * @return the ledger
     * @throws IllegalArgumentException if the body is not a valid ledger
     */
    public static BudgetLedger decode(String json) {
        try {
            return MAPPER.readValue(json, BudgetLedger.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a valid budget ledger: " + e.getOriginalMessage(), e);
        }
    }
}
