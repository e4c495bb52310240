package io.jayhead.standins.platform;

import io.jayhead.standins.http.Exchange;

/** Holds a pending watch request, which waits for a change of one kind of object after a revision. */
record Watch(String kind, long since, Exchange exchange) {}
