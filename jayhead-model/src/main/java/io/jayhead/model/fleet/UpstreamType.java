package io.jayhead.model.fleet;

/** Distinguishes model engines from plain services. */
public enum UpstreamType {
    /** A language model engine that streams tokens. */
    MODEL_ENGINE,
    /** A service reached by single calls. */
    PLAIN_SERVICE
}
