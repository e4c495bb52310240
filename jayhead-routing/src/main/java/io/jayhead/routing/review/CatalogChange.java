package io.jayhead.routing.review;

/**
 * A difference between the configuration in force and the next one.
 *
 * @param entry the entry, such as {@code Routes/chat}
 * @param change what is added, removed or replaced
 * @param effect what it does to requests under way and to new ones
 */
public record CatalogChange(String entry, String change, String effect) {}
