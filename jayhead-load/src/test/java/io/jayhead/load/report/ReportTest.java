package io.jayhead.load.report;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ReportTest {

    /** Guards against moved columns and missing figures in the text report. */
    @Test
    void theTextReportShowsEachKindAndEachCheck() {
        Approvals.verify(TextReport.of(Samples.report()));
    }

    /** Guards against renamed JSON fields, on which scripts depend. */
    @Test
    void theJsonReportKeepsItsFieldNames() {
        Approvals.verify(JsonReport.of(Samples.report()));
    }

    /** Guards against a row whose cells do not match the header of the table. */
    @Test
    void theRowHasTheColumnsOfTheHeader() {
        Approvals.verify(MarkdownRow.header() + MarkdownRow.of(Samples.report()));
    }
}
