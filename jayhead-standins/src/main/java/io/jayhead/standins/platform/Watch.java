package io.jayhead.standins.platform;

import io.jayhead.standins.http.Exchange;

/** Holds a watch that waits for a change of its kind. */
record Watch(String kind, long since, Exchange exchange) {}
