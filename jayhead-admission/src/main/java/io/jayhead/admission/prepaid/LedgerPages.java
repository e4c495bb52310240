package io.jayhead.admission.prepaid;

/**
 * Maps budgets to ledger pages.
 *
 * <p>All routers must agree on the page of a budget, also after restarts. Therefore the number of pages and the mapping
 * are fixed.
 */
public final class LedgerPages {

    /** The number of pages. More pages cause fewer conflicts between routers, but more calls to the store. */
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
