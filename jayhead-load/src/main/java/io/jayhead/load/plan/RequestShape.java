package io.jayhead.load.plan;

import io.jayhead.model.RequestKind;

/**
 * Describes the requests of a mix to one service, or to one group of booking services.
 *
 * @param kind the kind of request
 * @param service the name of the service; for plain services, the common prefix of the service names,
 *     one service for each upstream
 * @param model the model that generates the answer; empty for plain services
 * @param sharePercent the share of all requests in percent
 * @param promptWords the number of words in a prompt
 * @param outputTokens the maximum number of output tokens that callers ask for
 * @param stream whether callers ask for a streamed answer
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
            RequestKind kind,
            String service,
            int sharePercent,
            IntRange promptWords,
            IntRange outputTokens,
            boolean stream) {
        String model = kind == RequestKind.LONG_GENERATION ? "large" : "small";
        return new RequestShape(kind, service, model, sharePercent, promptWords, outputTokens, stream);
    }

    static RequestShape plain(RequestKind kind, String service, int sharePercent) {
        return new RequestShape(kind, service, "", sharePercent, IntRange.of(0, 0), IntRange.of(0, 0), false);
    }
}
