package io.jayhead.load;

import io.jayhead.load.audit.Audit;
import io.jayhead.load.audit.Evidence;
import io.jayhead.load.audit.EvidenceReader;
import io.jayhead.load.client.CallerClient;
import io.jayhead.load.client.OpenLoop;
import io.jayhead.load.client.Result;
import io.jayhead.load.measure.Measures;
import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.RequestPlan;
import io.jayhead.load.report.JsonReport;
import io.jayhead.load.report.RunReport;
import io.jayhead.load.report.TextReport;
import java.io.PrintStream;
import java.util.List;

/** Sends a request mix to running routers and prints a report. */
final class RunCommand {

    private RunCommand() {}

    static void run(PrintStream output, String... arguments) throws InterruptedException {
        RunOptions options = RunOptions.parse(arguments);
        PlanSettings plan = options.plan();
        List<Result> results;
        try (CallerClient client = new CallerClient(
                options.routers(), Credentials.read(options.credentials()), options.silenceLimitMs())) {
            results = new OpenLoop(RequestPlan.of(plan), client).run(options.drainMs());
        }
        Evidence evidence =
                new EvidenceReader(options.evidence()).read(plan.mix().organisations());
        RunReport report = new RunReport(
                plan.mix().text(),
                plan.ratePerSecond(),
                plan.durationS(),
                plan.seed(),
                Measures.of(results),
                Audit.of(results, evidence));
        output.print(options.json() ? JsonReport.of(report) : TextReport.of(report));
    }
}
