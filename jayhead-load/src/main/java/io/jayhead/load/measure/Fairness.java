package io.jayhead.load.measure;

import java.util.Collection;

/** Computes Jain's fairness index. */
public final class Fairness {

    private Fairness() {}

    /**
     * Returns Jain's fairness index of some shares.
     *
     * @param shares for each organisation, the share of its requests that was served
     * @return 1 if all shares are equal, falling to 1 divided by the number of shares if only one is above 0
     */
    public static double jain(Collection<Double> shares) {
        double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
        double sumOfSquares =
                shares.stream().mapToDouble(share -> share * share).sum();
        return sumOfSquares == 0 ? 1 : sum * sum / (shares.size() * sumOfSquares);
    }
}
