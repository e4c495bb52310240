package io.jayhead.load.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class FairnessTest {

    /** Guards against an index that depends on the size of the shares instead of their differences. */
    @Test
    void equalSharesHaveIndexOne() {
        assertEquals(1, Fairness.jain(List.of(0.3, 0.3, 0.3)), 1e-9);
        assertEquals(1, Fairness.jain(List.of(0.0, 0.0)), 1e-9);
    }

    /** Guards against an index that stays high although most organisations are not served. */
    @Test
    void oneServedOfFourHasIndexOneQuarter() {
        assertEquals(0.25, Fairness.jain(List.of(1.0, 0.0, 0.0, 0.0)), 1e-9);
        assertEquals(0.9, Fairness.jain(List.of(1.0, 0.5)), 1e-9);
    }
}
