package io.jayhead.admission.queue;

/** Holds a waiting request with its start tag. */
record TaggedRequest(QueuedRequest request, double startTag) {

    boolean goesBefore(TaggedRequest other) {
        if (request.priority() != other.request.priority()) {
            return request.priority() > other.request.priority();
        }
        return startTag < other.startTag;
    }
}
