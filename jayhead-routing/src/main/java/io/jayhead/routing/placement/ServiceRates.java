package io.jayhead.routing.placement;

import io.jayhead.routing.DecayedMean;

/**
 * Holds how fast the upstreams of one service work, learned from their answers to this router; immutable.
 *
 * <p>The times are those of an upstream of normal speed on a machine that is not slowed down. Only the time of a whole
 * generation includes the slowdowns of machines, which change while it runs. Without answers the rates are the
 * defaults; old answers lose weight as new ones arrive.
 *
 * @param firstEvent the rates that make up the time to the first event of a generation
 * @param plainCallMs the milliseconds from sending a plain call to the end of its answer
 * @param streamMs the milliseconds from sending a generation to the end of its answer
 */
public record ServiceRates(FirstEventRates firstEvent, DecayedMean plainCallMs, DecayedMean streamMs) {

    private static final double DEFAULT_PLAIN_CALL_MS = 20;
    private static final long HALF_LIFE_MS = 10_000;
    private static final double THOUSAND = 1_000;

    /**
     * Returns the rates of a service without answers.
     *
     * @return the defaults
     */
    public static ServiceRates defaults() {
        return new ServiceRates(FirstEventRates.prior(), DecayedMean.empty(), DecayedMean.empty());
    }

    /**
     * Tells whether the rates are more than the defaults.
     *
     * @return true once a generation has been answered
     */
    public boolean isLearned() {
        return firstEvent.isFitted();
    }

    /**
     * Adds the first event of a generation.
     *
     * @param measuredMs the time from sending the request to the event, divided by the slowdown of the machine
     * @param work the work at the engine when the request was sent
     * @param nowMs the current time
     * @return the new rates
     */
    public ServiceRates withFirstEvent(double measuredMs, ExpectedWork work, long nowMs) {
        FirstEventRates fitted = firstEvent.with(measuredMs, work.tokensToRead(), work.requests(), nowMs);
        return new ServiceRates(fitted, plainCallMs, streamMs);
    }

    /**
     * Adds the answer to a plain call.
     *
     * @param measuredMs the time from sending the request to the end of its answer, divided by the slowdown
     * @param nowMs the current time
     * @return the new rates
     */
    public ServiceRates withPlainCall(double measuredMs, long nowMs) {
        return new ServiceRates(firstEvent, plainCallMs.with(measuredMs, nowMs, HALF_LIFE_MS), streamMs);
    }

    /**
     * Adds the end of a generation.
     *
     * @param measuredMs the time from sending the request to the end of its answer
     * @param nowMs the current time
     * @return the new rates
     */
    public ServiceRates withStream(double measuredMs, long nowMs) {
        return new ServiceRates(firstEvent, plainCallMs, streamMs.with(measuredMs, nowMs, HALF_LIFE_MS));
    }

    /**
     * Estimates the time to the first event of a generation that need not wait for a slot.
     *
     * @param tokensToRead the tokens of the prompt and of the prompts that the engine reads before it
     * @param requests the number of requests at the engine
     * @return the time in milliseconds
     */
    public double firstEventMs(double tokensToRead, double requests) {
        return firstEvent.expectedMs(tokensToRead, requests);
    }

    /**
     * Estimates the time to read prompt tokens.
     *
     * @param tokens the number of tokens
     * @return the time in milliseconds
     */
    public double readMs(double tokens) {
        return firstEvent.msPerThousandTokens() * tokens / THOUSAND;
    }

    /**
     * Returns the speed at which an engine reads prompts.
     *
     * @return the tokens in a millisecond
     */
    public double promptTokensPerMs() {
        return THOUSAND / firstEvent.msPerThousandTokens();
    }

    /**
     * Estimates the time for which a generation waits for a slot.
     *
     * @param requests the requests at the engine, running or waiting
     * @param slots the requests that the engine runs at the same time
     * @return the time in milliseconds; 0 while there is a free slot or no generation has ended yet
     */
    public double queueMs(double requests, int slots) {
        double ahead = Math.max(0, requests + 1 - slots);
        return streamMs.mean() * ahead / slots;
    }

    /**
     * Returns the expected time of a plain call at an upstream without other requests.
     *
     * @return the time in milliseconds
     */
    public double expectedPlainCallMs() {
        return plainCallMs.blend(DEFAULT_PLAIN_CALL_MS, 1, plainCallMs.observedMs(), HALF_LIFE_MS);
    }
}
