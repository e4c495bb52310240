package io.jayhead.load.report;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ReportTest {

    /** Guards against columns that move or figures that get lost. */
    @Test
    void theTextReportShowsEachKindAndEachCheck() {
        Approvals.verify(TextReport.of(Samples.report()));
    }

    /** Guards against renamed fields, which scripts read. */
    @Test
    void theJsonReportKeepsItsFieldNames() {
        Approvals.verify(JsonReport.of(Samples.report()));
    }

    /** Guards against a row whose cells do not match the head of the table. */
    @Test
    void theRowHasTheColumnsOfTheHeader() {
        Approvals.verify(MarkdownRow.header() + MarkdownRow.of(Samples.report()));
    }
}
