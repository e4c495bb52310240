package io.jayhead.gateway.budget;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the routers that holders without enough tokens have named during one sequence of loan requests; used by the
 * traffic thread.
 */
final class Referrals {

    /** Limits, with the holders, for how long a request waits for loans. */
    private static final int MAX_FOLLOWED = 2;

    private final Set<String> asked = new HashSet<>();
    private final Set<String> named = new LinkedHashSet<>();
    private boolean taken;

    /** Creates an instance for a router that asks others; it is never referred to itself. */
    Referrals(String askingVm) {
        asked.add(askingVm);
    }

    void asked(String vmName) {
        asked.add(vmName);
    }

    void named(Collection<String> vmNames) {
        named.addAll(vmNames);
    }

    /** Returns the first named routers that were not asked, once; those that they name are not followed. */
    List<String> take() {
        if (taken) {
            return List.of();
        }
        taken = true;
        return named.stream()
                .filter(vmName -> !asked.contains(vmName))
                .limit(MAX_FOLLOWED)
                .toList();
    }
}
