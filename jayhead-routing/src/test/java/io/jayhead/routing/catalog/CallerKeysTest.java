package io.jayhead.routing.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that lets every caller in, or forgets a budget, once the last key is revoked. */
class CallerKeysTest {

    private static final Organisation SHOP = new Organisation("shop", OptionalInt.empty(), OptionalLong.of(10));
    private static final Organisation OTHER = new Organisation("other", OptionalInt.empty(), OptionalLong.empty());

    @Test
    void onlyKnownKeysLeadToAnOrganisation() {
        CallerKeys keys = CallerKeys.of(List.of(SHOP), Map.of("key-1", SHOP));
        assertEquals(Optional.of(SHOP), keys.organisationByKey("key-1"));
        assertTrue(keys.organisationByKey("key-2").isEmpty());
        assertTrue(keys.organisationByKey(null).isEmpty());
    }

    @Test
    void keysAreRequiredAlthoughNoOrganisationHasOne() {
        assertTrue(CallerKeys.of(List.of(SHOP), Map.of()).areRequired());
        assertTrue(CallerKeys.of(List.of(), Map.of()).areRequired());
        assertFalse(CallerKeys.notRequired().areRequired());
    }

    @Test
    void anOrganisationWithoutAKeyKeepsItsBudget() {
        CallerKeys keys = CallerKeys.of(List.of(SHOP, OTHER), Map.of("key-2", OTHER));
        assertEquals(Map.of("shop", 10L), keys.prepaidTokens());
        assertEquals(Optional.of(SHOP), keys.organisation("shop"));
    }
}
