package io.jayhead.standins.engine;

import io.jayhead.model.RequestKey;

/**
 * Derives the answer of a model engine from model and prompt alone, so that tests can verify each token.
 *
 * @param tokenSeed the seed of the token texts
 * @param lengthSeed the seed of the output length
 * @param promptTokens the number of words of the prompt
 * @param exactLength whether the answer has exactly the requested length
 */
public record SyntheticText(long tokenSeed, long lengthSeed, int promptTokens, boolean exactLength) {

    /** Marks a prompt whose answer has exactly the requested length. */
    public static final String EXACT_MARK = "[exact]";

    private static final int MIN_LENGTH_PERCENT = 60;
    private static final int PREFIX_CHARACTERS = 256;
    private static final int SEED_HEX_DIGITS = 16;
    private static final long WORD_MASK = 0x3fffffffL;

    /**
     * Derives the answer.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @return the answer
     */
    public static SyntheticText of(String model, String prompt) {
        return new SyntheticText(
                seed(model + "\n" + prompt), seed(prompt), countWords(prompt), prompt.contains(EXACT_MARK));
    }

    /**
     * Returns the key that identifies a prompt's prefix in cache events.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @return the SHA-256 digest of model, line feed and the first 256 characters, in hexadecimal
     */
    public static String prefixKey(String model, String prompt) {
        return RequestKey.sha256(model + "\n" + prefix(prompt));
    }

    /**
     * Counts the prompt tokens that a cached prefix saves.
     *
     * @param prompt the prompt
     * @return the number of words in the first 256 characters
     */
    public static int prefixTokens(String prompt) {
        return countWords(prefix(prompt));
    }

    /**
     * Returns the text of one token.
     *
     * @param index its position, from 0
     * @return its text, which ends with a space
     */
    public String token(int index) {
        return Long.toString(mix(tokenSeed + index) & WORD_MASK, Character.MAX_RADIX) + " ";
    }

    /**
     * Returns the length of the answer.
     *
     * @param maxTokens the requested length in tokens
     * @return between 60% and 100% of the requested length, or all of it with {@link #EXACT_MARK}
     */
    public int outputTokens(int maxTokens) {
        if (exactLength) {
            return maxTokens;
        }
        int minTokens = (int) ((maxTokens * (long) MIN_LENGTH_PERCENT + 99) / 100);
        return minTokens + (int) Math.floorMod(lengthSeed, (long) maxTokens - minTokens + 1);
    }

    private static String prefix(String prompt) {
        return prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    }

    private static int countWords(String text) {
        String stripped = text.strip();
        return stripped.isEmpty() ? 0 : stripped.split("\\s+").length;
    }

    private static long seed(String text) {
        return Long.parseUnsignedLong(RequestKey.sha256(text).substring(0, SEED_HEX_DIGITS), 16);
    }

    /** Mixes a counter into a pseudorandom value with the finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = value * 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
