package io.jayhead.admission.prepaid;

/**
 * The ledger pages of a deployment. All routers must agree on the page of a budget, also over restarts, so neither the
 * number of pages nor the rule depends on anything that changes.
 */
public final class LedgerPages {

    /** More pages mean fewer conflicts between routers and more calls. */
    public static final int COUNT = 16;

    private LedgerPages() {}

    /**
     * Returns the page with the entries of a budget.
     *
     * @param organisation the organisation
     * @return the index of the page, from 0
     */
    public static int indexOf(String organisation) {
        return Math.floorMod(organisation.hashCode(), COUNT);
    }

    /**
     * Returns the name of a page in the store.
     *
     * @param index the index of the page
     * @return the name
     */
    public static String name(int index) {
        return "page-" + index;
    }
}
