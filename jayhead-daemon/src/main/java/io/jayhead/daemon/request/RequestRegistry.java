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
 * Finds earlier runs of the same request, also on other routers; confined to the control thread.
 *
 * <p>The router that owns the partition of a request key keeps in memory where the request runs. If this record is
 * lost, a retry may run the request a second time, but the charge log still bills it once.
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
     * The result of looking up a request.
     *
     * @param found whether an earlier request with the same key is registered
     * @param differentBody whether the key was used with another body
     * @param upstream the upstream of the earlier run; empty if there is no such run, if it was not sent yet, or if the
     *     key was used with another body
     */
    public record Lookup(boolean found, boolean differentBody, Optional<UpstreamName> upstream) {

        static Lookup unknown() {
            return new Lookup(false, false, Optional.empty());
        }
    }

    /**
     * Creates a registry.
     *
     * @param self this router
     * @param charges determines the owners of partitions
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
     * Looks up a request and registers it if it is new. If the owner of its partition does not answer in time, the
     * request counts as new.
     *
     * @param key the key of the request
     * @param bodyDigest the SHA-256 of its body
     * @param callback receives the result on the control thread
     */
    public void lookUpOrRegister(RequestKey key, String bodyDigest, Consumer<Lookup> callback) {
        exchange(
                newMessage(key, bodyDigest).build(),
                reply -> callback.accept(lookup(reply)),
                () -> callback.accept(Lookup.unknown()));
    }

    /**
     * Looks up a request without registering it. If the owner of its partition does not answer in time, the request
     * counts as new.
     *
     * @param key the key of the request
     * @param bodyDigest the SHA-256 of its body
     * @param callback receives the result on the control thread
     */
    public void lookUp(RequestKey key, String bodyDigest, Consumer<Lookup> callback) {
        exchange(
                newMessage(key, bodyDigest).setLookupOnly(true).build(),
                reply -> callback.accept(lookup(reply)),
                () -> callback.accept(Lookup.unknown()));
    }

    /**
     * Registers the upstream at which a request runs or has finished; failures are ignored.
     *
     * @param key the key of the request
     * @param bodyDigest the SHA-256 of its body
     * @param upstream the upstream
     * @param finished whether the run has finished
     */
    public void update(RequestKey key, String bodyDigest, UpstreamName upstream, boolean finished) {
        Begin update = newMessage(key, bodyDigest)
                .setUpstream(upstream.value())
                .setFinished(finished)
                .build();
        exchange(update, reply -> {}, () -> {});
    }

    /**
     * Handles a lookup or an update of another router.
     *
     * @param request the message
     * @return the reply
     */
    public Frame handle(Begin request) {
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
        Registration existing = registrations.get(request.getRequestKey());
        boolean expired = existing != null && nowMs - existing.updatedMs() > RETENTION_MS;
        if ((existing == null || expired) && request.getLookupOnly()) {
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.NOT_REGISTERED)
                    .build();
        }
        if (existing == null || expired) {
            registrations.put(request.getRequestKey(), registration(request, nowMs));
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.REGISTERED)
                    .build();
        }
        if (!existing.bodyDigest().equals(request.getBodyDigest())) {
            return BeginReply.newBuilder()
                    .setStatus(BeginReply.Status.DIFFERENT_BODY)
                    .build();
        }
        if (!request.getUpstream().isEmpty()) {
            registrations.put(request.getRequestKey(), registration(request, nowMs));
        }
        return BeginReply.newBuilder()
                .setStatus(existing.finished() ? BeginReply.Status.FINISHED : BeginReply.Status.RUNNING)
                .setVm(existing.vm())
                .setUpstream(existing.upstream())
                .build();
    }

    private static Registration registration(Begin request, long nowMs) {
        return new Registration(
                request.getVm(), request.getBodyDigest(), request.getUpstream(), request.getFinished(), nowMs);
    }

    private Begin.Builder newMessage(RequestKey key, String bodyDigest) {
        return Begin.newBuilder()
                .setRequestKey(key.value())
                .setVm(self.vm().value())
                .setIncarnation(self.incarnation().value())
                .setBodyDigest(bodyDigest);
    }

    private static Lookup lookup(BeginReply reply) {
        Optional<UpstreamName> upstream =
                reply.getUpstream().isEmpty() ? Optional.empty() : Optional.of(UpstreamName.of(reply.getUpstream()));
        boolean found = reply.getStatus() != BeginReply.Status.REGISTERED
                && reply.getStatus() != BeginReply.Status.NOT_REGISTERED;
        return new Lookup(found, reply.getStatus() == BeginReply.Status.DIFFERENT_BODY, upstream);
    }
}
