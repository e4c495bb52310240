package io.jayhead.model.fleet;

/** Distinguishes model engines from plain services. */
public enum UpstreamType {
    /** An engine that runs language models and streams tokens. */
    MODEL_ENGINE,
    /** A service that answers single calls. */
    PLAIN_SERVICE
}
