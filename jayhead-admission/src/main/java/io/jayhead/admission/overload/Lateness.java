package io.jayhead.admission.overload;

/**
 * How late the recent answers of one route were.
 *
 * @param average the moving average of answer times, as multiples of the objective
 * @param atMs the time of the last answer in milliseconds
 */
public record Lateness(double average, long atMs) {

    static final Lateness NONE = new Lateness(0, 0);
}
