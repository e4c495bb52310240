package io.jayhead.gateway.exchange;

import io.jayhead.gateway.budget.BudgetAccounts;
import io.jayhead.gateway.budget.ReservationResult;
import io.jayhead.gateway.wire.GenerationSize;
import io.jayhead.routing.catalog.Organisation;
import java.util.Optional;
import java.util.function.Consumer;

/** Reserves and settles the prepaid tokens of one request; used by the traffic thread. */
final class TokenReservation {

    /**
     * The ledger answers within a few milliseconds; a longer wait would use up the time that the request needs to run.
     */
    private static final long LEDGER_WAIT_MS = 450;

    private final BudgetAccounts budgets;
    private final AdmittedRequest request;
    private long reservedTokens;

    TokenReservation(BudgetAccounts budgets, AdmittedRequest request) {
        this.budgets = budgets;
        this.request = request;
    }

    /**
     * Reserves the most tokens that the request can consume. Requests without a size, and requests of organisations
     * without a prepaid budget, need no reservation and succeed at once.
     */
    void reserve(Consumer<ReservationResult> callback) {
        Optional<GenerationSize> size = request.metadata().size();
        Optional<Organisation> prepaidOrganisation = request.organisation()
                .filter(organisation -> organisation.prepaidTokens().isPresent());
        if (size.isEmpty() || prepaidOrganisation.isEmpty()) {
            callback.accept(ReservationResult.RESERVED);
            return;
        }
        long tokens = size.get().maxTokens();
        long prepaidTokens = prepaidOrganisation.get().prepaidTokens().getAsLong();
        budgets.reserve(
                prepaidOrganisation.get().name(),
                prepaidTokens,
                tokens,
                request.budgetRank(),
                LEDGER_WAIT_MS,
                result -> {
                    if (result == ReservationResult.RESERVED) {
                        reservedTokens = tokens;
                    }
                    callback.accept(result);
                });
    }

    /**
     * Settles the reservation of a request that has ended.
     *
     * @param delivered whether the caller received a part of the answer; otherwise nothing is billed
     * @param events the number of events that were delivered
     * @return the tokens that are billed; 0 for requests without a size, and the most possible if the service sets no
     *     tokens per event
     */
    long settleAnswer(boolean delivered, int events) {
        long consumedTokens = consumedTokens(delivered, events);
        settle(consumedTokens);
        return consumedTokens;
    }

    private long consumedTokens(boolean delivered, int events) {
        if (request.metadata().size().isEmpty() || !delivered) {
            return 0;
        }
        GenerationSize size = request.metadata().size().get();
        int perEvent = request.service().tokensPerEvent();
        if (perEvent == 0) {
            return size.maxTokens();
        }
        return size.promptTokens() + Math.min(size.maxOutputTokens(), (long) perEvent * events);
    }

    /**
     * Settles the reservation, if there is one, and releases the tokens that were not consumed; later calls do nothing.
     */
    void settle(long consumedTokens) {
        if (reservedTokens == 0) {
            return;
        }
        budgets.settle(request.organisation().get().name(), reservedTokens, consumedTokens);
        reservedTokens = 0;
    }
}
