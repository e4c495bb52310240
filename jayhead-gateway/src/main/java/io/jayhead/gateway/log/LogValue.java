package io.jayhead.gateway.log;

/** Encodes values as JSON; replaces control characters by spaces. */
final class LogValue {

    private LogValue() {}

    static void append(StringBuilder line, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
            return;
        }
        line.append('"');
        String text = String.valueOf(value);
        for (int index = 0; index < text.length(); index++) {
            char next = text.charAt(index);
            if (next == '"' || next == '\\') {
                line.append('\\').append(next);
            } else if (next < ' ') {
                line.append(' ');
            } else {
                line.append(next);
            }
        }
        line.append('"');
    }
}
