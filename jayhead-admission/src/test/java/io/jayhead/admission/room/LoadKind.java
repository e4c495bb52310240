package io.jayhead.admission.room;

/** The kinds of requests of the replayed load: short urgent answers, labels, and long reports. */
enum LoadKind {
    CHAT(0, 250, 10_000, 600, 290, 0.40),
    LABEL(1, 400, 2_500, 1_800, 25, 0.40),
    REPORT(2, 1_200, 12_000, 6_600, 380, 0.20);

    /** A tenth of the requests is larger by this factor. */
    private static final int LARGE_FACTOR = 3;

    final int rank;
    final int objectiveMs;
    final int deadlineMs;
    private final int promptTokens;
    private final int outputTokens;
    private final double share;

    LoadKind(int rank, int objectiveMs, int deadlineMs, int promptTokens, int outputTokens, double share) {
        this.rank = rank;
        this.objectiveMs = objectiveMs;
        this.deadlineMs = deadlineMs;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.share = share;
    }

    static LoadKind of(double draw) {
        if (draw < CHAT.share) {
            return CHAT;
        }
        return draw < CHAT.share + LABEL.share ? LABEL : REPORT;
    }

    double promptTokens(boolean large) {
        return large ? LARGE_FACTOR * promptTokens : promptTokens;
    }

    double outputTokens(boolean large) {
        return large ? LARGE_FACTOR * outputTokens : outputTokens;
    }
}
