package io.jayhead.admission.budget;

import io.jayhead.admission.collection.PersistentMap;
import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.Either;
import java.util.Optional;
import java.util.stream.Stream;

/** Holds the accounts of all budgets at one router and the reservations of its requests; immutable. */
public final class GrantBook {

    private static final GrantBook EMPTY = new GrantBook(PersistentMap.empty(), PersistentMap.empty());

    private final PersistentMap<BudgetId, GrantAccount> accounts;
    private final PersistentMap<String, Reservation> reservations;

    private GrantBook(PersistentMap<BudgetId, GrantAccount> accounts, PersistentMap<String, Reservation> reservations) {
        this.accounts = accounts;
        this.reservations = reservations;
    }

    /**
     * Returns a book without accounts and reservations.
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
     * @return the account, without tokens if the router never held any of the budget
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
     * @param reservationId the id of the reservation
     * @return the reservation, or empty if there is none
     */
    public Optional<Reservation> reservation(String reservationId) {
        return reservations.get(reservationId);
    }

    /**
     * Reserves tokens for a request. Repeating it with the same id changes nothing.
     *
     * @param budget the budget
     * @param reservationId the id of the reservation
     * @param tokens the most tokens that the request may consume
     * @return the new book, or the shortfall
     * @throws IllegalArgumentException if {@code tokens} is negative
     */
    public Either<InsufficientGrant, GrantBook> reserve(BudgetId budget, String reservationId, long tokens) {
        Checks.requireNotNegative(tokens, "tokens");
        if (reservations.get(reservationId).isPresent()) {
            return Either.right(this);
        }
        GrantAccount account = account(budget);
        if (account.reclaimed() || tokens > account.availableTokens()) {
            return Either.left(insufficient(account, tokens, account.availableTokens()));
        }
        Reservation reservation = new Reservation(budget, tokens);
        return Either.right(
                withAccount(account.withReservation(tokens), reservations.with(reservationId, reservation)));
    }

    /**
     * Releases a part of a reservation while the request is in flight.
     *
     * @param reservationId the id of the reservation
     * @param refundTokens the reserved tokens that the request will not consume
     * @return the new book, or the reason why the reservation cannot be reduced
     */
    public Either<ReservationFault, GrantBook> reduce(String reservationId, long refundTokens) {
        return requireReservation(reservationId, refundTokens).map(reservation -> {
            Reservation reduced = new Reservation(reservation.budget(), reservation.tokens() - refundTokens);
            return withAccount(
                    account(reservation.budget()).withReleasedReservation(refundTokens, 0),
                    reservations.with(reservationId, reduced));
        });
    }

    /**
     * Ends a reservation, counts the consumed tokens and makes the rest available again.
     *
     * @param reservationId the id of the reservation
     * @param consumedTokens the tokens consumed, at most those reserved
     * @return the new book, or the reason why the reservation cannot be settled
     */
    public Either<ReservationFault, GrantBook> settle(String reservationId, long consumedTokens) {
        return requireReservation(reservationId, consumedTokens)
                .map(reservation -> withAccount(
                        account(reservation.budget()).withReleasedReservation(reservation.tokens(), consumedTokens),
                        reservations.without(reservationId)));
    }

    /**
     * Ends the reservation of a request that did not run. An unknown reservation changes nothing.
     *
     * @param reservationId the id of the reservation
     * @return the new book
     */
    public GrantBook release(String reservationId) {
        return settle(reservationId, 0).fold(fault -> this, book -> book);
    }

    /**
     * Adds granted tokens; called after the grant was written to the ledger.
     *
     * @param budget the budget
     * @param tokens the granted tokens
     * @return the new book
     * @throws IllegalArgumentException if {@code tokens} is negative
     */
    public GrantBook grant(BudgetId budget, long tokens) {
        GrantAccount account = account(budget);
        return withAccount(account.withGranted(account.grantedTokens() + Checks.requireNotNegative(tokens, "tokens")));
    }

    /**
     * Sets the upper bound of the lent tokens. It must be raised only after the ledger was written and lowered before
     * the ledger is written, so that the router never lends more than the ledger records.
     *
     * @param budget the budget
     * @param limitTokens the bound of all tokens lent since the entry was opened; raised to the tokens already lent
     * @return the new book
     */
    public GrantBook withLendingLimit(BudgetId budget, long limitTokens) {
        return withAccount(account(budget).withLendingLimit(limitTokens));
    }

    /**
     * Deducts a loan before it is sent. A repeated transfer id changes nothing.
     *
     * @param budget the budget
     * @param transferId the id that the borrower chose
     * @param tokens the tokens to lend
     * @return the new book, or the shortfall
     * @throws IllegalArgumentException if {@code tokens} is negative
     */
    public Either<InsufficientGrant, GrantBook> lend(BudgetId budget, String transferId, long tokens) {
        Checks.requireNotNegative(tokens, "tokens");
        GrantAccount account = account(budget);
        if (account.lentTransfer(transferId).isPresent()) {
            return Either.right(this);
        }
        if (account.reclaimed() || tokens > account.lendableTokens()) {
            return Either.left(insufficient(account, tokens, account.lendableTokens()));
        }
        return Either.right(withAccount(account.withLent(transferId, tokens)));
    }

    /**
     * Finds a loan that was deducted before.
     *
     * @param budget the budget
     * @param transferId the id that the borrower chose
     * @return the loan, or empty if there is none or it is no longer recorded
     */
    public Optional<LentTransfer> lentTransfer(BudgetId budget, String transferId) {
        return account(budget).lentTransfer(transferId);
    }

    /**
     * Records a loan request, so that the loan is accepted when it arrives.
     *
     * @param budget the budget
     * @param transferId an id that this router has never used before
     * @return the new book
     */
    public GrantBook expectLoan(BudgetId budget, String transferId) {
        return withAccount(account(budget).withExpectedLoan(transferId));
    }

    /**
     * Adds a requested loan that arrived. A repeated or unexpected transfer id changes nothing.
     *
     * @param budget the budget
     * @param transferId the id of the transfer
     * @param tokens the borrowed tokens
     * @return the new book
     * @throws IllegalArgumentException if {@code tokens} is negative
     */
    public GrantBook borrow(BudgetId budget, String transferId, long tokens) {
        return withAccount(account(budget).withBorrowed(transferId, Checks.requireNotNegative(tokens, "tokens")));
    }

    /**
     * Returns the tokens of a budget that may be returned to the platform.
     *
     * @param budget the budget
     * @param keepTokens the available tokens to keep
     * @return the returnable tokens, at least 0
     */
    public long returnableTokens(BudgetId budget, long keepTokens) {
        return account(budget).returnableTokens(keepTokens);
    }

    /**
     * Deducts tokens to return; called before the ledger is written, so that they cannot be spent as well.
     *
     * @param budget the budget
     * @param tokens the tokens to return
     * @return the new book, or the shortfall
     */
    public Either<InsufficientGrant, GrantBook> deductReturn(BudgetId budget, long tokens) {
        GrantAccount account = account(budget);
        long returnable = account.returnableTokens(0);
        if (tokens < 0 || tokens > returnable) {
            return Either.left(insufficient(account, tokens, returnable));
        }
        return Either.right(withAccount(account.withGranted(account.grantedTokens() - tokens)));
    }

    /**
     * Stops new reservations and loans of a budget whose entry was reclaimed; reservations can still be settled.
     *
     * @param budget the budget
     * @return the new book
     */
    public GrantBook markReclaimed(BudgetId budget) {
        return withAccount(account(budget).withReclaimed());
    }

    private Either<ReservationFault, Reservation> requireReservation(String reservationId, long tokens) {
        Optional<Reservation> reservation = reservations.get(reservationId);
        if (reservation.isEmpty()) {
            return Either.left(ReservationFault.UNKNOWN_RESERVATION);
        }
        if (tokens < 0 || tokens > reservation.get().tokens()) {
            return Either.left(ReservationFault.EXCEEDS_RESERVATION);
        }
        return Either.right(reservation.get());
    }

    private static InsufficientGrant insufficient(GrantAccount account, long needed, long available) {
        return new InsufficientGrant(account.budget(), needed, available, account.reclaimed());
    }

    private GrantBook withAccount(GrantAccount account) {
        return withAccount(account, reservations);
    }

    private GrantBook withAccount(GrantAccount account, PersistentMap<String, Reservation> nextReservations) {
        return new GrantBook(accounts.with(account.budget(), account), nextReservations);
    }
}
