package io.jayhead.daemon.request;

import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.model.RequestKey;
import io.jayhead.model.UpstreamName;
import io.jayhead.peer.pb.Begin;
import io.jayhead.peer.pb.BeginReply;
import io.jayhead.peer.pb.Frame;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Finds other runs of the same request; belongs to the control thread.
 *
 * <p>The owner of a request's partition remembers where it runs. This is soft state: if it is lost, a retry may run
 * the request a second time, but the charge log still bills it once.
 */
public final class RequestRegistry {

    private static final int REGISTRATIONS_MAX = 20_000;
    private static final long RETENTION_MS = 600_000;
    private static final long LOOKUP_TIMEOUT_MS = 300;

    private final Member self;
    private final ChargeService charges;
    private final PeerLinks links;
    private final HybridClock clock;
    private final Map<String, Registration> registrations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Registration> eldest) {
            return size() > REGISTRATIONS_MAX;
        }
    };

    private record Registration(String vm, String bodyDigest, String upstream, boolean finished, long updatedMs) {}

    /**
     * Tells what is known of a request.
     *
     * @param known whether an earlier request with the same key is known
     * @param differentBody whether the key was used with another body
     * @param upstream where an earlier run of the request is or was
     */
    public record Lookup(boolean known, boolean differentBody, Optional<UpstreamName> upstream) {

        static Lookup unknown() {
            return new Lookup(false, false, Optional.empty());
        }
    }

    /**
     * Creates a registry.
     *
     * @param self this router
     * @param charges knows the owners of partitions
     * @param links sends requests to other routers
     * @param clock the clock
     */
    public RequestRegistry(Member self, ChargeService charges, PeerLinks links, HybridClock clock) {
        this.self = self;
        this.charges = charges;
        this.links = links;
        this.clock = clock;
    }

    /**
     * Looks a request up and registers it if it is new.
     *
     * @param key the request
     * @param bodyDigest the digest of its body
     * @param callback is told what is known, on the control thread
     */
    public void begin(RequestKey key, String bodyDigest, Consumer<Lookup> callback) {
        exchange(
                message(key, bodyDigest).build(),
                reply -> callback.accept(lookup(reply)),
                () -> callback.accept(Lookup.unknown()));
    }

    /**
     * Looks a request up without registering it.
     *
     * @param key the request
     * @param bodyDigest the digest of its body
     * @param callback is told what is known, on the control thread
     */
    public void find(RequestKey key, String bodyDigest, Consumer<Lookup> callback) {
        exchange(
                message(key, bodyDigest).setLookupOnly(true).build(),
                reply -> callback.accept(lookup(reply)),
                () -> callback.accept(Lookup.unknown()));
    }

    /**
     * Registers where a request runs, or that it finished there.
     *
     * @param key the request
     * @param bodyDigest the digest of its body
     * @param upstream the upstream
     * @param finished whether it finished
     */
    public void update(RequestKey key, String bodyDigest, UpstreamName upstream, boolean finished) {
        Begin update = message(key, bodyDigest)
                .setUpstream(upstream.value())
                .setFinished(finished)
                .build();
        exchange(update, reply -> {}, () -> {});
    }

    /**
     * Answers a router.
     *
     * @param request the request
     * @return the reply
     */
    public Frame answer(Begin request) {
        return Frame.newBuilder().setBeginReply(register(request)).build();
    }

    private void exchange(Begin request, Consumer<BeginReply> onReply, Runnable onFailure) {
        Member owner = charges.ownerOf(new RequestKey(request.getRequestKey()));
        if (owner.equals(self)) {
            onReply.accept(register(request));
            return;
        }
        links.send(
                owner.address(),
                Frame.newBuilder().setBegin(request).build(),
                LOOKUP_TIMEOUT_MS,
                reply -> onReply.accept(reply.getBeginReply()),
                onFailure);
    }

    private BeginReply register(Begin request) {
        long nowMs = clock.nowMs();
        Registration known = registrations.get(request.getRequestKey());
        boolean expired = known != null && nowMs - known.updatedMs() > RETENTION_MS;
        if ((known == null || expired) && request.getLookupOnly()) {
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.NOT_REGISTERED)
                    .build();
        }
        if (known == null || expired) {
            registrations.put(request.getRequestKey(), registration(request, nowMs));
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.REGISTERED)
                    .build();
        }
        if (!known.bodyDigest().equals(request.getBodyDigest())) {
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.DIFFERENT_BODY)
                    .build();
        }
        if (!request.getUpstream().isEmpty()) {
            registrations.put(request.getRequestKey(), registration(request, nowMs));
        }
        return BeginReply.newBuilder()
                .setStatus(known.finished() ? BeginReply.Status.FINISHED : BeginReply.Status.RUNNING)
                .setVm(known.vm())
                .setUpstream(known.upstream())
                .build();
    }

    private static Registration registration(Begin request, long nowMs) {
        return new Registration(
                request.getVm(), request.getBodyDigest(), request.getUpstream(), request.getFinished(), nowMs);
    }

    private Begin.Builder message(RequestKey key, String bodyDigest) {
        return Begin.newBuilder()
                .setRequestKey(key.value())
                .setVm(self.vm().value())
                .setIncarnation(self.incarnation().value())
                .setBodyDigest(bodyDigest);
    }

    private static Lookup lookup(BeginReply reply) {
        Optional<UpstreamName> upstream =
                reply.getUpstream().isEmpty() ? Optional.empty() : Optional.of(UpstreamName.of(reply.getUpstream()));
        boolean known = reply.getStatus() != BeginReply.Status.REGISTERED
                && reply.getStatus() != BeginReply.Status.NOT_REGISTERED;
        return new Lookup(known, reply.getStatus() == BeginReply.Status.DIFFERENT_BODY, upstream);
    }
}
