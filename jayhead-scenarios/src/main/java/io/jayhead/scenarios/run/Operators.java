package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.HttpReply;
import io.jayhead.scenarios.client.Json;
import io.jayhead.scenarios.language.Command;
import io.jayhead.scenarios.language.FleetEdit;
import io.jayhead.scenarios.language.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Sends operator requests: fleet changes, top-ups and reads of versions and readiness. */
final class Operators {

    private static final String FLEET_PATH = "/operator/v1/fleet";
    static final long WAIT_LIMIT_MS = 10_000;

    private final Deployment deployment;
    private final Map<String, CompletableFuture<HttpReply>> changes = new HashMap<>();
    private final Map<String, FleetText> proposedTexts = new HashMap<>();
    private FleetText currentText;

    Operators(Deployment deployment, FleetText initial) {
        this.deployment = deployment;
        this.currentText = initial;
    }

    /** Returns the output cap of a service in the newest accepted fleet text. */
    int outputCap(String service) {
        adoptAcceptedTexts();
        return currentText.outputCap(service);
    }

    boolean contains(String id) {
        return changes.containsKey(id);
    }

    CompletableFuture<HttpReply> change(String id) {
        return Optional.ofNullable(changes.get(id)).orElseThrow(() -> new NoSuchElementException("no change " + id));
    }

    void apply(Command.Apply command) {
        adoptAcceptedTexts();
        FleetText next = currentText;
        for (FleetEdit edit : command.edits()) {
            next = next.with(edit);
        }
        long expected = command.expectedVersion().orElseGet(() -> version(command.router()));
        String body = Json.object()
                .put("expected_version", expected)
                .put("change_id", "change-" + command.id())
                .put("text", deployment.render(next))
                .toString();
        proposedTexts.put(command.id(), next);
        changes.put(
                command.id(),
                Callers.runInBackground(() -> deployment.sendAsOperator("PUT", command.router(), FLEET_PATH, body)));
    }

    /** Adds tokens to a budget. Retries for up to 10 s, because the router may not be ready at the first top-up. */
    Optional<String> topUp(Command.TopUp command, String router) {
        String path = "/operator/v1/budgets/" + command.organisation() + "/" + command.budget() + "/topups";
        String body = Json.object()
                .put("id", command.topUpId())
                .put("tokens", command.tokens())
                .toString();
        return Poll.until(WAIT_LIMIT_MS, () -> {
            HttpReply reply = deployment.sendAsOperator("POST", router, path, body);
            return reply.isSuccess() ? Optional.empty() : Optional.of(reply.toString());
        });
    }

    /** Returns the fleet version that a router uses, or -1 if it does not respond with one. */
    long version(String router) {
        HttpReply reply = deployment.sendAsOperator("GET", router, FLEET_PATH, "");
        return reply.json().path("version").asLong(-1);
    }

    Optional<String> awaitReady(String router, long limitMs) {
        return Poll.until(limitMs, () -> {
            HttpReply reply = deployment.sendAsOperator("GET", router, "/ready", "");
            return reply.isSuccess() ? Optional.empty() : Optional.of(router + " is not ready: " + reply);
        });
    }

    Optional<String> check(String id, Outcome outcome) {
        HttpReply reply = change(id).getNow(new HttpReply(0, "no answer yet"));
        boolean holds;
        if (outcome instanceof Outcome.Accepted accepted) {
            holds = isAccepted(reply) && reply.json().path("version").asLong() == accepted.version();
        } else if (outcome instanceof Outcome.Conflict conflict) {
            holds = isConflict(reply) && conflictVersion(reply) == conflict.version();
        } else {
            return Optional.of("is a configuration change");
        }
        return holds ? Optional.empty() : Optional.of(reply.toString());
    }

    Optional<String> checkOneAccepted(List<String> ids) {
        List<HttpReply> replies = ids.stream()
                .map(id -> change(id).getNow(new HttpReply(0, "no answer yet")))
                .toList();
        long accepted = replies.stream().filter(Operators::isAccepted).count();
        long conflicts = replies.stream().filter(Operators::isConflict).count();
        boolean holds = accepted == 1 && conflicts == ids.size() - 1;
        return holds ? Optional.empty() : Optional.of(replies.toString());
    }

    private void adoptAcceptedTexts() {
        changes.forEach((id, change) -> {
            if (change.isDone() && isAccepted(change.join())) {
                Optional.ofNullable(proposedTexts.remove(id)).ifPresent(text -> currentText = text);
            }
        });
    }

    private static boolean isAccepted(HttpReply reply) {
        return reply.isSuccess() && reply.json().path("state").asText().equals("accepted");
    }

    private static boolean isConflict(HttpReply reply) {
        return reply.status() == 409 && reply.body().contains("conflict");
    }

    private static long conflictVersion(HttpReply reply) {
        long topLevelVersion = reply.json().path("version").asLong(-1);
        return topLevelVersion >= 0
                ? topLevelVersion
                : reply.json().path("error").path("version").asLong(-1);
    }
}
