package io.jayhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantEntry;
import java.util.Locale;
import java.util.OptionalLong;

/** Writes a budget ledger as the JSON document that operators read. */
final class BudgetDocument {

    private BudgetDocument() {}

    /**
     * Returns the document of a ledger. The sum of its charges is exact even while grants are open and loans are made;
     * it is left out if {@code billedTokens} is empty.
     */
    static ObjectNode of(BudgetLedger ledger, OptionalLong billedTokens) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("organisation", ledger.id().organisation().value());
        root.put("budget", ledger.id().budget().value());
        root.put("paid_tokens", ledger.paidTokens());
        billedTokens.ifPresent(tokens -> root.put("billed_tokens", tokens));
        root.put("retired_tokens", ledger.retiredTokens());
        root.put("unallocated_tokens", ledger.unallocatedTokens());
        ArrayNode grants = root.putArray("grants");
        ledger.entries().forEach((incarnation, entry) -> grants.add(grant(incarnation, entry)));
        return root;
    }

    private static ObjectNode grant(String incarnation, GrantEntry entry) {
        ObjectNode grant = JsonNodeFactory.instance.objectNode();
        grant.put("incarnation", incarnation);
        grant.put("state", entry.state().name().toLowerCase(Locale.ROOT));
        grant.put("granted_tokens", entry.grantedTokens());
        grant.put("consumed_tokens", entry.consumedTokens());
        grant.put("lent_limit_tokens", entry.lentTokens());
        grant.put("borrowed_tokens", entry.borrowedTokens());
        return grant;
    }
}
