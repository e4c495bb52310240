package io.jayhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantEntry;

/** Describes a ledger to operators. */
final class BudgetDocument {

    private BudgetDocument() {}

    static ObjectNode of(BudgetLedger ledger) {
        long openConsumedTokens = ledger.entries().values().stream()
                .mapToLong(entry -> entry.consumedTokens() - entry.borrowedTokens())
                .sum();
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("organisation", ledger.id().organisation().value());
        root.put("budget", ledger.id().budget().value());
        root.put("paid_tokens", ledger.paidTokens());
        root.put("spent_tokens", ledger.retiredTokens() + openConsumedTokens);
        root.put("retired_tokens", ledger.retiredTokens());
        root.put("unallocated_tokens", ledger.unallocatedTokens());
        ArrayNode grants = root.putArray("grants");
        ledger.entries().forEach((incarnation, entry) -> grants.add(grant(incarnation, entry)));
        return root;
    }

    private static ObjectNode grant(String incarnation, GrantEntry entry) {
        ObjectNode grant = JsonNodeFactory.instance.objectNode();
        grant.put("incarnation", incarnation);
        grant.put("state", entry.state().name().toLowerCase(java.util.Locale.ROOT));
        grant.put("granted_tokens", entry.grantedTokens());
        grant.put("consumed_tokens", entry.consumedTokens());
        grant.put("lent_limit_tokens", entry.lentTokens());
        grant.put("borrowed_tokens", entry.borrowedTokens());
        return grant;
    }
}
