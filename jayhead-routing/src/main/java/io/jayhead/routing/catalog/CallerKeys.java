package io.jayhead.routing.catalog;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Holds the organisations of a configuration and the API keys of their callers; immutable.
 *
 * <p>Whether callers need a key does not follow from the keys: a configuration whose last key has been revoked still
 * requires one, so that it lets nobody in.
 */
public final class CallerKeys {

    private static final CallerKeys NOT_REQUIRED = new CallerKeys(false, Map.of(), Map.of());

    private final boolean required;
    private final Map<String, Organisation> byName;
    private final Map<String, Organisation> byKey;

    private CallerKeys(boolean required, Map<String, Organisation> byName, Map<String, Organisation> byKey) {
        this.required = required;
        this.byName = Map.copyOf(byName);
        this.byKey = Map.copyOf(byKey);
    }

    /**
     * Returns the keys of a configuration that has no organisations, whose callers need no key.
     *
     * @return an instance without organisations and keys
     */
    public static CallerKeys notRequired() {
        return NOT_REQUIRED;
    }

    /**
     * Returns the keys of a configuration whose callers need one.
     *
     * @param organisations the organisations, with and without keys; there may be none
     * @param byKey the organisations by API key; several keys may belong to one organisation
     * @return the organisations and keys
     */
    public static CallerKeys of(Collection<Organisation> organisations, Map<String, Organisation> byKey) {
        Map<String, Organisation> byName = new HashMap<>();
        organisations.forEach(organisation -> byName.put(organisation.name(), organisation));
        return new CallerKeys(true, byName, byKey);
    }

    /**
     * Tells whether requests need an API key unless their route accepts requests without one.
     *
     * @return true if the configuration has organisations, also if none of them has a key
     */
    public boolean areRequired() {
        return required;
    }

    /**
     * Finds the organisation that owns an API key.
     *
     * @param key the API key, or null if the request has none
     * @return the organisation, or empty if the key is unknown
     */
    public Optional<Organisation> organisationByKey(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(byKey.get(key));
    }

    /**
     * Finds an organisation by its name.
     *
     * @param name the name
     * @return the organisation, or empty if the configuration has no such organisation
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns all organisations, also those without a key.
     *
     * @return the organisations by name
     */
    public List<Organisation> organisations() {
        return byName.values().stream()
                .sorted(Comparator.comparing(Organisation::name))
                .toList();
    }

    /**
     * Returns the API keys of an organisation.
     *
     * @param name its name
     * @return the keys; empty if it has none or is unknown
     */
    public Set<String> keysOf(String name) {
        return byKey.entrySet().stream()
                .filter(key -> key.getValue().name().equals(name))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the priorities of all organisations; empty for each that has none. */
    List<OptionalInt> priorities() {
        return byName.values().stream().map(Organisation::priority).toList();
    }

    /**
     * Returns the sizes of all prepaid budgets, also of organisations without a key, whose tokens stay spent.
     *
     * @return the tokens by organisation, without organisations that have no limit
     */
    public Map<String, Long> prepaidTokens() {
        Map<String, Long> tokens = new HashMap<>();
        byName.values()
                .forEach(organisation -> organisation
                        .prepaidTokens()
                        .ifPresent(prepaidTokens -> tokens.put(organisation.name(), prepaidTokens)));
        return tokens;
    }
}
