package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.ForwardMetadata;
import io.jayhead.gateway.wire.GenerationSize;
import io.jayhead.gateway.wire.PromptPart;
import io.jayhead.gateway.wire.WireDialect;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.placement.PlacementRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Builds the requests that are sent to upstreams for an admitted request. */
final class ForwardedRequest {

    /**
     * The connections that an upstream accepts from all routers are divided by this number to get the limit of one
     * router.
     */
    private static final int CONNECTION_SHARE_DIVISOR = 4;

    private static final int MIN_CONNECTIONS = 4;

    private final WireDialect dialect;
    private final FullHttpRequest request;
    private final AdmittedRequest admitted;
    private final int salt = ThreadLocalRandom.current().nextInt();

    ForwardedRequest(WireDialect dialect, FullHttpRequest request, AdmittedRequest admitted) {
        this.dialect = dialect;
        this.request = request;
        this.admitted = admitted;
    }

    int promptTokens() {
        return admitted.metadata().size().map(GenerationSize::promptTokens).orElse(0);
    }

    int maxConnections() {
        int limit = admitted.service().maxConnections();
        return limit == 0 ? Integer.MAX_VALUE : Math.max(MIN_CONNECTIONS, limit / CONNECTION_SHARE_DIVISOR);
    }

    /**
     * Returns the key of the last shared part of the prompt, which decides the engines that hold the shared prompt;
     * empty if the prompt has none.
     */
    String affinityKey() {
        List<PromptPart> shared = admitted.metadata().sharedParts();
        return shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
    }

    /** Returns the placement input. */
    PlacementRequest placement(Set<String> partHolders, Set<String> triedIncarnations) {
        List<PromptPart> shared = admitted.metadata().sharedParts();
        int sharedTokens = shared.stream().mapToInt(PromptPart::tokens).sum();
        return new PlacementRequest(
                admitted.isGeneration(),
                promptTokens(),
                admitted.metadata().size().map(GenerationSize::maxOutputTokens).orElse(0),
                admitted.service().kvTokens(),
                sharedTokens,
                affinityKey(),
                partHolders,
                triedIncarnations,
                salt);
    }

    /** Builds the request for one upstream; its body shares the buffer of the caller's request. */
    FullHttpRequest build(String upstreamId, long leftMs, Optional<String> resumeAfter) {
        FullHttpRequest forward = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.content().retainedDuplicate()));
        ForwardMetadata metadata = new ForwardMetadata(
                upstreamId,
                Math.max(1, leftMs),
                admitted.organisation().map(Organisation::name),
                admitted.isGeneration() ? OptionalInt.of(admitted.upstreamRank()) : OptionalInt.empty(),
                resumeAfter);
        dialect.writeForward(request.headers(), metadata, forward.headers());
        if (forward.content().isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forward.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, forward.content().readableBytes());
        }
        return forward;
    }
}
