package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.ReplicaChoice;

/** Computes for how long changes of the announced routers are collected before the platform is asked for more. */
final class RoutersPause {

    /**
     * Many routers announce themselves at the same time when a fleet starts, so changes are collected for this time.
     */
    static final int COLLECTING_MS = 2_000;

    /** Used while something waits for the next announcement. */
    static final int SHORT_MS = 100;

    private RoutersPause() {}

    /**
     * Returns the pause after an answer.
     *
     * @param routers the routers that are known, including this one
     * @param awaitingReports whether budgets get no tokens until all routers have reported
     * @return the pause in milliseconds; short until this router knows as many others as it replicates its ledger
     *     entries to, since nobody else knows what it has taken if it ends before
     */
    static int afterAnswerMs(int routers, boolean awaitingReports) {
        boolean lacksReplicas = routers <= ReplicaChoice.REPLICAS;
        return awaitingReports || lacksReplicas ? SHORT_MS : COLLECTING_MS;
    }
}
