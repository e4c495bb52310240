package io.jayhead.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a status that says that a request has not run, on the answer to one that has run. */
class ErrorCodeTest {

    @ParameterizedTest
    @EnumSource
    void theStatusOfARequestThatMayHaveRunDoesNotSayThatItHasNot(ErrorCode code) {
        assertFalse(NotRunStatus.matches(code.httpStatus(Verdict.ran())));
        assertFalse(NotRunStatus.matches(code.httpStatus(Verdict.mayHaveRun())));
    }

    @ParameterizedTest
    @EnumSource
    void theStatusOfARequestThatHasNotRunIsThatOfItsCode(ErrorCode code) {
        assertEquals(code.httpStatus(), code.httpStatus(Verdict.notRun(NotRunProof.BEFORE_DISPATCH)));
    }
}
