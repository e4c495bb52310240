package io.jayhead.standins.engine;

/** Holds the load at one moment. */
record LoadSample(long atMs, int queued, int running, long producedTokens, boolean draining) {}
