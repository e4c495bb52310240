package io.jayhead.admission.queue;

/** Holds a waiting request with its start tag, the virtual time at which its service starts. */
record TaggedRequest(QueuedRequest request, double startTag) {

    boolean precedes(TaggedRequest other) {
        if (request.priority() != other.request.priority()) {
            return request.priority() > other.request.priority();
        }
        return startTag < other.startTag;
    }
}
