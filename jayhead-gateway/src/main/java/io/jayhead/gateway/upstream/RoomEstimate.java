package io.jayhead.gateway.upstream;

import io.jayhead.admission.overload.ServiceRoom;
import java.util.List;

/**
 * Sums up the places of the upstreams of a service.
 *
 * <p>The load pattern: a service is nearly full, and each of many routers has heard lately from some of its upstreams
 * only. The upstreams without a recent report are assumed to be as full as the others.
 */
final class RoomEstimate {

    private RoomEstimate() {}

    /**
     * Sums up the places.
     *
     * @param upstreams the ready upstreams of the service
     * @return the room; unknown without upstreams
     */
    static ServiceRoom of(List<UpstreamRoom> upstreams) {
        int slots = upstreams.stream().mapToInt(UpstreamRoom::slots).sum();
        if (slots == 0) {
            return ServiceRoom.unknown();
        }
        double reportedSlots = 0;
        double running = 0;
        double waiting = 0;
        for (UpstreamRoom upstream : upstreams) {
            reportedSlots += upstream.weight() * upstream.slots();
            running += upstream.weight() * upstream.running();
            waiting += upstream.weight() * upstream.waiting();
        }
        if (reportedSlots == 0) {
            return new ServiceRoom(slots, 0, 0, 0);
        }
        // The slots without a recent report take the mean share of those with one.
        double scale = slots / reportedSlots;
        return new ServiceRoom(slots, running * scale, waiting * scale, reportedSlots / slots);
    }

    /**
     * The places of one upstream.
     *
     * @param slots the requests that it processes at the same time
     * @param running the requests that it processes
     * @param waiting the requests in its queue
     * @param weight how much the report that tells this still counts, from 0 (no report) to 1
     */
    record UpstreamRoom(int slots, double running, double waiting, double weight) {}
}
