package io.jayhead.load.plan;

import io.jayhead.model.RequestKind;

/**
 * Describes the requests to one service of a mix.
 *
 * @param kind the kind of request
 * @param service the service called; for plain services, the prefix of one service for each upstream
 * @param model the model that answers; empty for plain services
 * @param sharePercent the share of all requests
 * @param promptWords the length of prompts
 * @param outputTokens the output cap that callers ask for
 * @param stream whether callers ask for a stream
 */
public record RequestShape(
        RequestKind kind,
        String service,
        String model,
        int sharePercent,
        IntRange promptWords,
        IntRange outputTokens,
        boolean stream) {

    static RequestShape generation(
            RequestKind kind, String service, int sharePercent, IntRange words, IntRange tokens, boolean stream) {
        String model = kind == RequestKind.LONG_GENERATION ? "large" : "small";
        return new RequestShape(kind, service, model, sharePercent, words, tokens, stream);
    }

    static RequestShape plain(RequestKind kind, String service, int sharePercent) {
        return new RequestShape(kind, service, "", sharePercent, IntRange.of(0, 0), IntRange.of(0, 0), false);
    }
}
