package io.jayhead.model;

import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds either a refusal or a result. By convention, the left value is the refusal and the right value the result.
 *
 * @param <L> the type of the refusal
 * @param <R> the type of the result
 */
public sealed interface Either<L, R> permits Either.Left, Either.Right {

    /**
     * Returns a left value.
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
     * Returns a right value.
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
     * Applies the first function to a refusal or the second function to a result.
     *
     * @param ifLeft the function for a refusal
     * @param ifRight the function for a result
     * @param <T> the type of the value that both functions return
     * @return the value that the applied function returned
     */
    <T> T fold(Function<? super L, ? extends T> ifLeft, Function<? super R, ? extends T> ifRight);

    /**
     * Applies a function to the result; a refusal stays as it is.
     *
     * @param mapper the function
     * @param <T> the type of the new result
     * @return the new result, or the same refusal
     */
    default <T> Either<L, T> map(Function<? super R, ? extends T> mapper) {
        return fold(Either::left, value -> Either.right(mapper.apply(value)));
    }

    /**
     * Applies a function to the result that itself returns a refusal or a result; a refusal stays as it is.
     *
     * @param mapper the function
     * @param <T> the type of the new result
     * @return the refusal or result of the function, or the same refusal
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
     * @return the result, or empty for a refusal and for a result of null
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
     * Holds a refusal.
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
     * Holds a result.
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
