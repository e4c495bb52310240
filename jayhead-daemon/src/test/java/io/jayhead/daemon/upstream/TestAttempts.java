package io.jayhead.daemon.upstream;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;

/** Builds attempts for tests of the clients of upstreams. */
final class TestAttempts {

    private static final int PRIORITY = 5;

    private TestAttempts() {}

    /** Returns a plain service at an address. */
    static UpstreamSpec service(String address) {
        return upstream("desk", UpstreamType.PLAIN_SERVICE, address);
    }

    /** Returns a model engine at an address. */
    static UpstreamSpec engine(String address) {
        return upstream("engine", UpstreamType.MODEL_ENGINE, address);
    }

    /** Returns the first attempt of a request, on a new connection. */
    static AttemptRequest first(UpstreamSpec upstream) {
        return new AttemptRequest(1, upstream, "r1", IncarnationId.of("vm-1/1"), PRIORITY, 0, true);
    }

    /** Returns the first attempt of a request with an id, on a pooled connection if there is one. */
    static AttemptRequest pooled(UpstreamSpec upstream, String requestId) {
        return new AttemptRequest(1, upstream, requestId, IncarnationId.of("vm-1/1"), PRIORITY, 0, false);
    }

    private static UpstreamSpec upstream(String name, UpstreamType type, String address) {
        return new UpstreamSpec(UpstreamName.of(name), type, AvailabilityZone.of("zone-1"), address, false, false);
    }
}
