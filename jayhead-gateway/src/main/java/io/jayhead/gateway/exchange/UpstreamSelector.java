package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.upstream.UpstreamHandle;
import io.jayhead.model.Either;
import io.jayhead.routing.placement.Placement;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.PlacementChoice;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Selects the upstream of each attempt of one request; used by the traffic thread. */
final class UpstreamSelector {

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final ForwardedRequest forwarded;
    private final PromptPass prompt;
    private final Set<String> triedIncarnations = new HashSet<>();

    UpstreamSelector(GatewayContext context, AdmittedRequest admitted, ForwardedRequest forwarded, PromptPass prompt) {
        this.context = context;
        this.admitted = admitted;
        this.forwarded = forwarded;
        this.prompt = prompt;
    }

    /** Selects an upstream that has not been tried for this request, or returns why there is none. */
    Either<Refusal, SelectedUpstream> select() {
        RoutingSnapshot snapshot = context.snapshot().get();
        if (!prompt.maySend()) {
            return Either.left(Refusal.PROMPT_BLOCKED);
        }
        String service = admitted.service().name();
        List<PlacementCandidate> ready = context.upstreams().candidates(snapshot.registry(), service);
        Either<Refusal, List<PlacementCandidate>> candidates = context.filter().apply(ready, admitted.regions());
        if (!candidates.isRight()) {
            return Either.left(candidates.getLeft());
        }
        Set<String> partHolders = context.upstreams().partHolders(service, forwarded.affinityKey());
        Optional<PlacementChoice> chosen = Placement.choose(
                candidates.get(),
                forwarded.placement(partHolders, triedIncarnations),
                context.upstreams().rates(service));
        if (chosen.isEmpty()) {
            return Either.left(Refusal.NO_UPSTREAM);
        }
        UpstreamHandle upstream =
                context.upstreams().handle(chosen.get().candidate().upstream());
        context.upstreams().partSent(upstream.upstream(), forwarded.affinityKey());
        triedIncarnations.add(upstream.upstream().incarnation());
        return Either.right(new SelectedUpstream(
                upstream, chosen.get().tokensToRead(), chosen.get().memoryTokens()));
    }
}
