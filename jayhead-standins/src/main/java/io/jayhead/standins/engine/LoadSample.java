package io.jayhead.standins.engine;

/** Holds the load of the engine at one time. The produced tokens are counted since its start. */
record LoadSample(long atMs, int queued, int running, long producedTokens, boolean draining) {}
