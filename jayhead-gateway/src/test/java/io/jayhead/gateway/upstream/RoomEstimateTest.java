package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.gateway.upstream.RoomEstimate.UpstreamRoom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a router that takes a full service for an empty one because most upstreams have not reported to it,
 * and against one that lets a single old report speak for the whole service.
 */
class RoomEstimateTest {

    private static final int SLOTS = 16;
    private static final UpstreamRoom UNREPORTED = new UpstreamRoom(SLOTS, 0, 0, 0);

    @Test
    void nothingIsKnownWithoutUpstreamsOrReports() {
        assertEquals(ServiceRoom.unknown(), RoomEstimate.of(List.of()));
        assertEquals(new ServiceRoom(2 * SLOTS, 0, 0, 0), RoomEstimate.of(List.of(UNREPORTED, UNREPORTED)));
    }

    @Test
    void upstreamsWithoutAReportAreTakenToBeAsFullAsTheOthers() {
        List<UpstreamRoom> upstreams = new ArrayList<>(Collections.nCopies(70, UNREPORTED));
        upstreams.addAll(Collections.nCopies(8, new UpstreamRoom(SLOTS, 16, 2, 1)));
        ServiceRoom room = RoomEstimate.of(upstreams);
        assertEquals(78 * SLOTS, room.slots());
        assertEquals(78 * 16, room.running(), 1e-6);
        assertEquals(78 * 2, room.waiting(), 1e-6);
        assertEquals(8.0 / 78, room.reportedShare(), 1e-6);
    }

    @Test
    void anOldReportCountsLessThanANewOne() {
        List<UpstreamRoom> upstreams = List.of(new UpstreamRoom(SLOTS, 16, 0, 0.9), new UpstreamRoom(SLOTS, 0, 0, 0.1));
        ServiceRoom room = RoomEstimate.of(upstreams);
        assertEquals(0.9 * 2 * SLOTS, room.running(), 1e-6);
        assertEquals(0.5, room.reportedShare(), 1e-6);
    }
}
