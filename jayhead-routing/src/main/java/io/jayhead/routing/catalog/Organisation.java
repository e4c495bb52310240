package io.jayhead.routing.catalog;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A customer whose callers share keys and a prepaid budget.
 *
 * @param name the name that upstreams see
 * @param priority the rank that replaces that of the route, if there is one
 * @param prepaidTokens the tokens that may be consumed in total; empty if there is no limit
 */
public record Organisation(String name, OptionalInt priority, OptionalLong prepaidTokens) {}
