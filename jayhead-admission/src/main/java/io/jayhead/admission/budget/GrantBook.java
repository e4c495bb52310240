package io.jayhead.admission.budget;

import io.jayhead.admission.collection.PersistentMap;
import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.Either;
import java.util.Optional;
import java.util.stream.Stream;

/** Holds the accounts of all budgets that one router spends. */
public final class GrantBook {

    private static final GrantBook EMPTY = new GrantBook(PersistentMap.empty(), PersistentMap.empty());

    private final PersistentMap<BudgetId, GrantAccount> accounts;
    private final PersistentMap<String, Reservation> reservations;

    private GrantBook(PersistentMap<BudgetId, GrantAccount> accounts, PersistentMap<String, Reservation> reservations) {
        this.accounts = accounts;
        this.reservations = reservations;
    }

    /**
     * Returns a book without accounts.
     *
     * @return the book
     */
    public static GrantBook empty() {
        return EMPTY;
    }

    /**
     * Returns the account of a budget.
     *
     * @param budget the budget
     * @return the account, empty if the router never held tokens of the budget
     */
    public GrantAccount account(BudgetId budget) {
        return accounts.get(budget).orElseGet(() -> GrantAccount.empty(budget));
    }

    /**
     * Returns all accounts.
     *
     * @return the accounts in no particular order
     */
    public Stream<GrantAccount> accounts() {
        return accounts.values();
    }

    /**
     * Finds a reservation.
     *
     * @param reservationId the reservation
     * @return the reservation, or empty if there is none
     */
    public Optional<Reservation> reservation(String reservationId) {
        return reservations.get(reservationId);
    }

    /**
     * Sets tokens aside for a request; repeating it with the same id changes nothing.
     *
     * @param budget the budget
     * @param reservationId the id of the reservation
     * @param tokens the worst case of the request
     * @return the new book, or what is missing
     */
    public Either<InsufficientGrant, GrantBook> reserve(BudgetId budget, String reservationId, long tokens) {
        Checks.requireNotNegative(tokens, "tokens");
        if (reservations.get(reservationId).isPresent()) {
            return Either.right(this);
        }
        GrantAccount account = account(budget);
        if (account.voided() || tokens > account.availableTokens()) {
            return Either.left(insufficient(account, tokens, account.availableTokens()));
        }
        Reservation reservation = new Reservation(budget, tokens);
        return Either.right(with(account.reserving(tokens), reservations.with(reservationId, reservation)));
    }

    /**
     * Refunds a part of a reservation while the request runs.
     *
     * @param reservationId the reservation
     * @param refundTokens the tokens that the request will not use
     * @return the new book, or why it cannot be done
     */
    public Either<ReservationFault, GrantBook> reduce(String reservationId, long refundTokens) {
        return checked(reservationId, refundTokens).map(reservation -> {
            Reservation rest = new Reservation(reservation.budget(), reservation.tokens() - refundTokens);
            return with(
                    account(reservation.budget()).settling(refundTokens, 0), reservations.with(reservationId, rest));
        });
    }

    /**
     * Ends a reservation and counts what the request consumed.
     *
     * @param reservationId the reservation
     * @param consumedTokens the tokens consumed, at most those reserved
     * @return the new book, or why it cannot be done
     */
    public Either<ReservationFault, GrantBook> settle(String reservationId, long consumedTokens) {
        return checked(reservationId, consumedTokens)
                .map(reservation -> with(
                        account(reservation.budget()).settling(reservation.tokens(), consumedTokens),
                        reservations.without(reservationId)));
    }

    /**
     * Ends the reservation of a request that did not run; an unknown one changes nothing.
     *
     * @param reservationId the reservation
     * @return the new book
     */
    public GrantBook release(String reservationId) {
        return settle(reservationId, 0).fold(fault -> this, book -> book);
    }

    /**
     * Adds tokens that the ledger granted.
     *
     * @param budget the budget
     * @param tokens the tokens
     * @return the new book
     */
    public GrantBook grant(BudgetId budget, long tokens) {
        GrantAccount account = account(budget);
        return with(account.withGranted(account.grantedTokens() + Checks.requireNotNegative(tokens, "tokens")));
    }

    /**
     * Sets the bound of lent tokens: raised after the ledger was written, lowered before it is written.
     *
     * @param budget the budget
     * @param limitTokens the bound, counted since the entry was opened
     * @return the new book
     */
    public GrantBook withLendingLimit(BudgetId budget, long limitTokens) {
        return with(account(budget).withLendingLimit(limitTokens));
    }

    /**
     * Deducts a loan, to be sent afterwards; a repeated transfer id changes nothing.
     *
     * @param budget the budget
     * @param transferId the id that the borrower chose
     * @param tokens the tokens
     * @return the new book, or what is missing
     */
    public Either<InsufficientGrant, GrantBook> lend(BudgetId budget, String transferId, long tokens) {
        Checks.requireNotNegative(tokens, "tokens");
        GrantAccount account = account(budget);
        if (account.lentTransfer(transferId).isPresent()) {
            return Either.right(this);
        }
        if (account.voided() || tokens > account.lendableTokens()) {
            return Either.left(insufficient(account, tokens, account.lendableTokens()));
        }
        return Either.right(with(account.lending(transferId, tokens)));
    }

    /**
     * Finds a loan that was sent before.
     *
     * @param budget the budget
     * @param transferId the id that the borrower chose
     * @return the loan, or empty if there is none
     */
    public Optional<LentTransfer> lentTransfer(BudgetId budget, String transferId) {
        return account(budget).lentTransfer(transferId);
    }

    /**
     * Remembers that a loan was asked for.
     *
     * @param budget the budget
     * @param transferId an id that this router has never used before
     * @return the new book
     */
    public GrantBook expectLoan(BudgetId budget, String transferId) {
        return with(account(budget).expecting(transferId));
    }

    /**
     * Adds a loan that was asked for; a repeated or unexpected transfer id changes nothing.
     *
     * @param budget the budget
     * @param transferId the id of the transfer
     * @param tokens the tokens
     * @return the new book
     */
    public GrantBook borrow(BudgetId budget, String transferId, long tokens) {
        return with(account(budget).borrowing(transferId, Checks.requireNotNegative(tokens, "tokens")));
    }

    /**
     * Returns the tokens of a budget that may be returned to the platform.
     *
     * @param budget the budget
     * @param keepTokens the tokens to keep
     * @return tokens
     */
    public long returnable(BudgetId budget, long keepTokens) {
        return account(budget).returnableTokens(keepTokens);
    }

    /**
     * Deducts tokens that will be returned; called before the ledger is written.
     *
     * @param budget the budget
     * @param tokens the tokens
     * @return the new book, or what is missing
     */
    public Either<InsufficientGrant, GrantBook> deductReturn(BudgetId budget, long tokens) {
        GrantAccount account = account(budget);
        long returnable = account.returnableTokens(0);
        if (tokens < 0 || tokens > returnable) {
            return Either.left(insufficient(account, tokens, returnable));
        }
        return Either.right(with(account.withGranted(account.grantedTokens() - tokens)));
    }

    /**
     * Stops all spending of a budget whose entry was reclaimed; running requests still settle.
     *
     * @param budget the budget
     * @return the new book
     */
    public GrantBook voidBudget(BudgetId budget) {
        return with(account(budget).withVoided());
    }

    private Either<ReservationFault, Reservation> checked(String reservationId, long tokens) {
        Optional<Reservation> found = reservations.get(reservationId);
        if (found.isEmpty()) {
            return Either.left(ReservationFault.UNKNOWN_RESERVATION);
        }
        if (tokens < 0 || tokens > found.get().tokens()) {
            return Either.left(ReservationFault.EXCEEDS_RESERVATION);
        }
        return Either.right(found.get());
    }

    private static InsufficientGrant insufficient(GrantAccount account, long needed, long available) {
        return new InsufficientGrant(account.budget(), needed, available, account.voided());
    }

    private GrantBook with(GrantAccount account) {
        return with(account, reservations);
    }

    private GrantBook with(GrantAccount account, PersistentMap<String, Reservation> nextReservations) {
        return new GrantBook(accounts.with(account.budget(), account), nextReservations);
    }
}
