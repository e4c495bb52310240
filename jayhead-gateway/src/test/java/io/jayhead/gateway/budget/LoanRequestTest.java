package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost tokens: a lender has deducted them, but the borrower no longer waits for the answer and does not
 * credit them, so no router can spend them.
 */
class LoanRequestTest {

    private final List<Long> credited = new ArrayList<>();
    private final List<Long> continued = new ArrayList<>();
    private final LoanRequest request = new LoanRequest(credited::add, continued::add);

    @Test
    void anAnswerInTimeIsCreditedAndEndsTheWait() {
        request.answered(70);
        assertFalse(request.giveUpWaiting());
        assertEquals(List.of(70L), credited);
        assertEquals(List.of(70L), continued);
    }

    @Test
    void aLateAnswerIsStillCredited() {
        assertTrue(request.giveUpWaiting());
        request.answered(70);
        assertEquals(List.of(70L), credited);
        assertEquals(List.of(0L), continued);
    }
}
