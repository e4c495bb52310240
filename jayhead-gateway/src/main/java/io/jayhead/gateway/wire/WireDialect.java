package io.jayhead.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers that one deployment uses, and names the path of its readiness check. */
public interface WireDialect {

    /**
     * Returns the path of the readiness check.
     *
     * @return the path, with its leading slash
     */
    String readinessPath();

    /**
     * Reads the headers of a caller's request.
     *
     * @param headers the headers
     * @return the values; malformed ones count as missing
     */
    CallerMetadata readCaller(HttpHeaders headers);

    /**
     * Copies the headers of the caller that may be passed to an upstream, and adds those of the router.
     *
     * @param caller the caller's headers
     * @param metadata the values that the router adds
     * @param target the headers of the request to the upstream
     */
    void writeForward(HttpHeaders caller, ForwardMetadata metadata, HttpHeaders target);

    /**
     * Reads the headers of an upstream's answer.
     *
     * @param answer the status and headers of the answer
     * @return the values of the headers
     */
    AnswerMetadata readAnswer(HttpResponse answer);

    /**
     * Copies the headers of the upstream that may be passed to the caller.
     *
     * @param answer the upstream's headers
     * @param target the headers of the answer to the caller
     */
    void copyAnswer(HttpHeaders answer, HttpHeaders target);
}
