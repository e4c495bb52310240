package io.jayhead.model.fleet;

import io.jayhead.model.BudgetId;
import io.jayhead.model.ServiceName;
import java.util.List;

/**
 * Describes a prepaid budget.
 *
 * @param id the organisation and the name of the budget
 * @param services the services whose requests are charged to the budget
 */
public record BudgetSpec(BudgetId id, List<ServiceName> services) {

    /** Copies the list. */
    public BudgetSpec {
        services = List.copyOf(services);
    }
}
