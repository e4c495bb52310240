package io.jayhead.admission.prepaid;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps budgets to ledger pages.
 *
 * <p>All routers must agree on the page of a budget, also after restarts. Therefore the number of pages and the mapping
 * are fixed.
 */
public final class LedgerPages {

    /** The number of pages. More pages cause fewer conflicts between routers, but more calls to the store. */
    public static final int COUNT = 16;

    private static final String NAME_PREFIX = "page-";
    /** Pages of the first era have no era in their names, like those of a platform without eras. */
    static final long FIRST_ERA = 1;

    private static final Pattern NAME = Pattern.compile(NAME_PREFIX + "(\\d{1,9})(?:\\.(\\d{1,18}))?");

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
     * <p>Each era has its own pages. So an update that was sent before the platform came back from an older copy, and
     * is executed after it, cannot change a page in use, although revisions are given out again.
     *
     * @param index the index of the page
     * @param era the era of the platform; negative if it is unknown
     * @return the name
     */
    public static String name(int index, long era) {
        return era <= FIRST_ERA ? NAME_PREFIX + index : NAME_PREFIX + index + "." + era;
    }

    /**
     * Returns the page with the entries of the newest era before a given one.
     *
     * @param index the index of the page
     * @param era the era whose page is to be created
     * @param stored all stored pages, by name
     * @return the page; empty if there is none of an earlier era
     */
    public static LedgerPage newestBefore(int index, long era, Map<String, LedgerPage> stored) {
        long newestEra = Long.MIN_VALUE;
        LedgerPage newest = LedgerPage.empty();
        for (Map.Entry<String, LedgerPage> page : stored.entrySet()) {
            Matcher name = NAME.matcher(page.getKey());
            if (!name.matches() || Integer.parseInt(name.group(1)) != index) {
                continue;
            }
            long pageEra = name.group(2) == null ? FIRST_ERA : Long.parseLong(name.group(2));
            if (pageEra < era && pageEra > newestEra) {
                newestEra = pageEra;
                newest = page.getValue();
            }
        }
        return newest;
    }
}
