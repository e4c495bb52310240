package io.jayhead.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers of one deployment's protocol. */
public interface WireDialect {

    /**
     * Returns the path of the readiness check.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Reads the headers of a caller's request.
     *
     * @param headers the headers
     * @return the facts; malformed values count as missing
     */
    CallerFacts readCaller(HttpHeaders headers);

    /**
     * Copies the caller's headers that an upstream may see, and adds those of the router.
     *
     * @param caller the caller's headers
     * @param facts what the router adds
     * @param target the headers of the request to the upstream
     */
    void writeForward(HttpHeaders caller, ForwardFacts facts, HttpHeaders target);

    /**
     * Reads the headers of an upstream's answer.
     *
     * @param answer the head of the answer
     * @return the facts
     */
    AnswerFacts readAnswer(HttpResponse answer);

    /**
     * Copies the upstream's headers that a caller may see.
     *
     * @param answer the upstream's headers
     * @param target the headers of the answer to the caller
     */
    void copyAnswer(HttpHeaders answer, HttpHeaders target);
}
