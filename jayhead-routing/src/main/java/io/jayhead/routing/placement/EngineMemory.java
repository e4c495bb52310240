package io.jayhead.routing.placement;

/**
 * Tells whether the memory of an engine has room for a generation.
 *
 * <p>The load pattern: generations with long prompts fill the key-value cache of an engine before its slots are taken,
 * and an engine whose requests exceed its memory fails.
 */
enum EngineMemory {
    /** The generation fits, or the memory is not known. */
    ENOUGH,
    /** The generation does not fit if the requests of other routers are as large as those of this one. */
    PROBABLY_FULL,
    /** The generation does not fit beside the requests of this router alone. */
    FULL;

    /** The share of the memory that is kept free, because the requests of other routers are only estimated. */
    private static final double MARGIN_SHARE = 0.1;

    /**
     * Returns the state of an engine for a generation.
     *
     * @param work the work at the engine
     * @param tokens the tokens that the generation adds there, with the longest output
     * @param capacityTokens the memory of the engine in tokens; 0 if unknown
     * @return the state
     */
    static EngineMemory of(UpstreamWork work, long tokens, long capacityTokens) {
        if (capacityTokens <= 0) {
            return ENOUGH;
        }
        if (work.ownTokens() + tokens > capacityTokens) {
            return FULL;
        }
        double expected = work.ownTokens() + work.otherTokens() + tokens;
        return expected > (1 - MARGIN_SHARE) * capacityTokens ? PROBABLY_FULL : ENOUGH;
    }
}
