package io.jayhead.scenarios.language;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Parses the action of a scenario line. */
final class ActionReader {

    private static final String DEFAULT_ORGANISATION = "shop-1";
    private static final long DEFAULT_WAIT_MS = 20_000;

    private ActionReader() {}

    static Command read(Words words) {
        String verb = words.word();
        return switch (verb) {
            case "generate" -> generate(words);
            case "book" -> book(words);
            case "status" -> status(words);
            case "topup" -> topUp(words);
            case "apply" -> apply(words);
            case "kill" -> new Command.Signal(ProcessSignal.KILL, words.word());
            case "stop" -> new Command.Signal(ProcessSignal.STOP, words.word());
            case "pause" -> new Command.Signal(ProcessSignal.PAUSE, words.word());
            case "resume" -> new Command.Signal(ProcessSignal.RESUME, words.word());
            case "start" -> new Command.Start(ScenarioParser.parseNode(words));
            case "fault" -> fault(words);
            case "cut" -> link(LinkState.CUT, words);
            case "silence" -> link(LinkState.SILENCE, words);
            case "heal" -> link(LinkState.HEAL, words);
            case "vm" -> new Command.SetVm(words.word(), words.word());
            case "sleep" -> new Command.Sleep(words.durationMs());
            case "wait" -> waitFor(words);
            case "note" -> new Command.NoteRuns(words.expect("runs").word());
            default -> throw words.syntaxError("unknown action");
        };
    }

    private static Command generate(Words words) {
        String id = words.word();
        String router = words.expect("via").word();
        String service = words.expect("service").word();
        String organisation = words.optional("organisation").orElse(DEFAULT_ORGANISATION);
        String key = words.optional("key").orElse(id);
        String prompt = words.expect("prompt").word();
        int maxTokens = words.expect("max").intNumber();
        return new Command.Generate(id, router, service, organisation, key, prompt, maxTokens, words.take("stream"));
    }

    private static Command book(Words words) {
        String id = words.word();
        String router = words.expect("via").word();
        String organisation = words.optional("organisation").orElse(DEFAULT_ORGANISATION);
        return new Command.Book(id, router, organisation, words.expect("order").word());
    }

    private static Command status(Words words) {
        String id = words.word();
        String router = words.expect("via").word();
        String organisation = words.optional("organisation").orElse(DEFAULT_ORGANISATION);
        return new Command.ReadStatus(
                id, router, organisation, words.expect("order").word());
    }

    private static Command topUp(Words words) {
        String organisation = words.word();
        String budget = words.word();
        long tokens = words.number();
        String topUpId = words.optional("id").orElse("paid-" + organisation + "-" + budget + "-" + tokens);
        return new Command.TopUp(organisation, budget, tokens, words.optional("via"), topUpId);
    }

    private static Command apply(Words words) {
        String id = words.word();
        String router = words.expect("via").word();
        OptionalLong expectedVersion = words.optionalNumber("expecting");
        List<FleetEdit> edits = new ArrayList<>();
        while (words.hasNext()) {
            if (words.take("leaving")) {
                edits.add(new FleetEdit.Leaving(words.word()));
            } else {
                edits.add(new FleetEdit.OutputCap(words.expect("cap").word(), words.intNumber()));
            }
        }
        return new Command.Apply(id, router, expectedVersion, edits);
    }

    private static Command fault(Words words) {
        String node = words.word();
        String fault = words.word();
        // A duration of 0 lasts until the fault is cleared; a count of 0 is no limit, or 1 for drop_reply.
        long durationMs = words.optionalDurationMs("for", 0);
        long delayMs = words.optionalDurationMs("delay", 0);
        int count = (int) words.optionalNumber("count").orElse(0);
        return new Command.InjectFault(
                node, fault, durationMs, delayMs, count, words.optional("path").orElse(""));
    }

    private static Command link(LinkState state, Words words) {
        String first = words.word();
        return new Command.SetLink(state, first, words.expect("-").word());
    }

    private static Command waitFor(Words words) {
        String id = words.word();
        long limitMs = words.take("up") ? words.expect("to").durationMs() : DEFAULT_WAIT_MS;
        return new Command.WaitFor(id, limitMs);
    }
}
