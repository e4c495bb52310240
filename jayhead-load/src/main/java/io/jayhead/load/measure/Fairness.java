package io.jayhead.load.measure;

import java.util.Collection;

/** Computes the fairness index of Jain. */
public final class Fairness {

    private Fairness() {}

    /**
     * Returns the index.
     *
     * @param shares the share of its demand that each organisation was served
     * @return 1 if all shares are equal, down to one divided by their number if only one is above 0
     */
    public static double jain(Collection<Double> shares) {
        double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
        double squares = shares.stream().mapToDouble(share -> share * share).sum();
        return squares == 0 ? 1 : sum * sum / (shares.size() * squares);
    }
}
