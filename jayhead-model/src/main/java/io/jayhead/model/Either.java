package io.jayhead.model;

import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds one of two values: the left one by convention a refusal, the right one a result.
 *
 * @param <L> the type of the refusal
 * @param <R> the type of the result
 */
public sealed interface Either<L, R> permits Either.Left, Either.Right {

    /**
     * Returns a refusal.
     *
     * @param value the refusal
     * @param <L> the type of the refusal
     * @param <R> the type of the result
     * @return the refusal
     */
    static <L, R> Either<L, R> left(L value) {
        return new Left<>(value);
    }

    /**
     * Returns a result.
     *
     * @param value the result
     * @param <L> the type of the refusal
     * @param <R> the type of the result
     * @return the result
     */
    static <L, R> Either<L, R> right(R value) {
        return new Right<>(value);
    }

    /**
     * Applies one of two functions.
     *
     * @param ifLeft applied to a refusal
     * @param ifRight applied to a result
     * @param <T> the type of the value returned
     * @return the value of the function applied
     */
    <T> T fold(Function<? super L, ? extends T> ifLeft, Function<? super R, ? extends T> ifRight);

    /**
     * Applies a function to the result.
     *
     * @param mapper the function
     * @param <T> the type of the new result
     * @return the new result, or the same refusal
     */
    default <T> Either<L, T> map(Function<? super R, ? extends T> mapper) {
        return fold(Either::left, value -> Either.right(mapper.apply(value)));
    }

    /**
     * Applies a function that may refuse to the result.
     *
     * @param mapper the function
     * @param <T> the type of the new result
     * @return the outcome of the function, or the same refusal
     */
    default <T> Either<L, T> flatMap(Function<? super R, Either<L, T>> mapper) {
        return fold(Either::left, mapper);
    }

    /**
     * Tells whether this is a result.
     *
     * @return true for a result
     */
    default boolean isRight() {
        return this instanceof Right;
    }

    /**
     * Returns the result if there is one.
     *
     * @return the result, or empty for a refusal
     */
    default Optional<R> toOptional() {
        return fold(value -> Optional.empty(), Optional::ofNullable);
    }

    /**
     * Returns the result.
     *
     * @return the result
     * @throws NoSuchElementException if this is a refusal
     */
    default R get() {
        return toOptional().orElseThrow(() -> new NoSuchElementException("no result: " + this));
    }

    /**
     * Returns the refusal.
     *
     * @return the refusal
     * @throws NoSuchElementException if this is a result
     */
    default L getLeft() {
        return fold(value -> value, value -> {
            throw new NoSuchElementException("no refusal: " + this);
        });
    }

    /**
     * A refusal.
     *
     * @param value the refusal
     * @param <L> the type of the refusal
     * @param <R> the type of the result
     */
    record Left<L, R>(L value) implements Either<L, R> {
        @Override
        public <T> T fold(Function<? super L, ? extends T> ifLeft, Function<? super R, ? extends T> ifRight) {
            return ifLeft.apply(value);
        }
    }

    /**
     * A result.
     *
     * @param value the result
     * @param <L> the type of the refusal
     * @param <R> the type of the result
     */
    record Right<L, R>(R value) implements Either<L, R> {
        @Override
        public <T> T fold(Function<? super L, ? extends T> ifLeft, Function<? super R, ? extends T> ifRight) {
            return ifRight.apply(value);
        }
    }
}
