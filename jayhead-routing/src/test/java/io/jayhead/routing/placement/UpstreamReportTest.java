package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against a thundering herd: routers that remember an idle upstream send it requests long after it was idle. */
class UpstreamReportTest {

    private static final int SLOTS = 16;
    private static final ReportedLoad IDLE = report(0, OptionalDouble.of(1));

    @Test
    void anAgedReportCountsLessThanTheMeanOfTheService() {
        UpstreamReport idle = new UpstreamReport(IDLE, 0, 10_000);
        assertEquals(0, idle.otherRequests(busyService(10_000), SLOTS, 10_000), 1e-9);
        assertTrue(idle.otherRequests(busyService(10_500), SLOTS, 10_500) > 4);
        assertTrue(idle.otherRequests(busyService(11_500), SLOTS, 11_500) > 8);
    }

    @Test
    void anUpstreamWithoutAReportIsExpectedToBeAsBusyAsTheOthers() {
        double expected = UpstreamReport.none().otherRequests(busyService(10_000), SLOTS, 10_000);
        assertTrue(expected > 10, "requests of others: " + expected);
    }

    @Test
    void requestsOfThisRouterAreNotCountedTwice() {
        ReportedLoad load = report(5, OptionalDouble.of(1));
        assertEquals(2, new UpstreamReport(load, 3, 0).otherRequests());
        assertEquals(0, new UpstreamReport(load, 7, 0).otherRequests());
    }

    @Test
    void withoutReportsOfTheSlowdownAReportCountsForOneSecond() {
        ServiceLoad service = service(12, OptionalDouble.empty(), 10_000);
        UpstreamReport report = new UpstreamReport(report(5, OptionalDouble.empty()), 0, 10_000);
        assertEquals(5, report.otherRequests(service, SLOTS, 10_900));
        assertEquals(0, report.otherRequests(service, SLOTS, 11_000));
        assertEquals(0, UpstreamReport.none().otherRequests(service, SLOTS, 10_000));
    }

    private static ServiceLoad busyService(long nowMs) {
        return service(12, OptionalDouble.of(1), nowMs);
    }

    private static ServiceLoad service(int running, OptionalDouble slowdown, long untilMs) {
        ServiceLoad service = ServiceLoad.unknown();
        for (long nowMs = 8_000; nowMs < untilMs; nowMs += 50) {
            service = service.with(report(running, slowdown), running, nowMs);
        }
        return service;
    }

    private static ReportedLoad report(int running, OptionalDouble slowdown) {
        return new ReportedLoad(OptionalInt.of(running), OptionalInt.of(0), OptionalInt.of(SLOTS), slowdown);
    }
}
