package io.jayhead.scenarios.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the words of a scenario line from left to right. A text in double quotes is one word. */
final class Words {

    private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|(\\S+)");

    private final int line;
    private final List<String> words = new ArrayList<>();
    private int next;

    Words(int line, String text) {
        this.line = line;
        Matcher matcher = WORD.matcher(text);
        while (matcher.find()) {
            words.add(matcher.group(1) == null ? matcher.group(2) : matcher.group(1));
        }
    }

    boolean hasNext() {
        return next < words.size();
    }

    boolean take(String word) {
        if (hasNext() && words.get(next).equals(word)) {
            next++;
            return true;
        }
        return false;
    }

    Words expect(String word) {
        if (!take(word)) {
            throw syntaxError("expected '" + word + "'");
        }
        return this;
    }

    String word() {
        if (!hasNext()) {
            throw syntaxError("a word is missing");
        }
        return words.get(next++);
    }

    long number() {
        String word = word();
        try {
            return Long.parseLong(word);
        } catch (NumberFormatException e) {
            throw syntaxError("expected a number: " + word);
        }
    }

    int intNumber() {
        return Math.toIntExact(number());
    }

    /** Reads a duration such as {@code 300 ms} or {@code 3 s} and returns it in milliseconds. */
    long durationMs() {
        long number = number();
        if (take("ms")) {
            return number;
        }
        expect("s");
        return number * 1000;
    }

    long optionalDurationMs(String word, long defaultMs) {
        return take(word) ? durationMs() : defaultMs;
    }

    Optional<String> optional(String word) {
        return take(word) ? Optional.of(word()) : Optional.empty();
    }

    OptionalLong optionalNumber(String word) {
        return take(word) ? OptionalLong.of(number()) : OptionalLong.empty();
    }

    List<String> rest() {
        List<String> rest = List.copyOf(words.subList(next, words.size()));
        next = words.size();
        return rest;
    }

    void expectEnd() {
        if (hasNext()) {
            throw syntaxError("unexpected '" + words.get(next) + "'");
        }
    }

    ScenarioSyntaxException syntaxError(String message) {
        return new ScenarioSyntaxException(line, message + " after " + words.subList(0, next));
    }
}
