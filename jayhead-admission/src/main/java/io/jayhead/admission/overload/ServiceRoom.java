package io.jayhead.admission.overload;

/**
 * The places of the upstreams of one service, as far as a router knows them from their reports.
 *
 * @param slots the requests that the ready upstreams process at the same time, all together
 * @param running the requests that they process, as reported and aged; of upstreams without a recent report, the mean
 *     share of the others is assumed
 * @param waiting the requests in their queues, estimated in the same way
 * @param reportedShare the share of the slots that belong to upstreams with a recent report, from 0 to 1
 */
public record ServiceRoom(int slots, double running, double waiting, double reportedShare) {

    /**
     * Returns the room of a service of which nothing is known.
     *
     * @return a room without slots and reports
     */
    public static ServiceRoom unknown() {
        return new ServiceRoom(0, 0, 0, 0);
    }
}
