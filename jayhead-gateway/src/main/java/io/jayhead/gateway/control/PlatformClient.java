package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerPage;
import io.jayhead.admission.prepaid.LedgerUpdate;
import io.jayhead.admission.prepaid.VersionedPage;
import io.jayhead.admission.quarantine.PartCrashes;
import io.jayhead.routing.catalog.Catalog;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;

/**
 * Calls the platform's store of configuration, registry, evacuations, router addresses, ledger pages
 * and ended upstreams.
 *
 * <p>All stages complete on the control thread; failed stages complete with a {@link PlatformException}.
 */
public interface PlatformClient {

    /** How much longer than its wait time a watch may take, in milliseconds, until its answer counts as missing. */
    int WATCH_MARGIN_MS = 500;

    /**
     * Registers who is notified of the era of the platform, which rises each time the platform has gone back to an
     * older copy. Calls that are in flight then fail with {@link PlatformFault#RESTORED}, so no answer joins revisions
     * from before and after.
     *
     * @param listener receives the first era that is known, and each later one, on the control thread and before any
     *     other answer of that era; a platform without eras never calls it
     */
    void onEra(LongConsumer listener);

    /**
     * Reads the newest configuration.
     *
     * @return the configuration and the revision from which to watch
     */
    CompletionStage<Versioned<Catalog>> readCatalog();

    /**
     * Waits for a newer configuration.
     *
     * @param revision the revision after which changes are reported
     * @param waitMs the longest time in milliseconds for which the platform waits for a change
     * @return the newest configuration; its value is null if there was no change
     */
    CompletionStage<Versioned<Catalog>> watchCatalog(long revision, int waitMs);

    /**
     * Reads the registry of upstreams.
     *
     * @return all usable entries and the revision from which to watch
     */
    CompletionStage<Versioned<UpstreamListing>> listUpstreams();

    /**
     * Waits for changes of the registry.
     *
     * @param revision the revision after which changes are reported
     * @param waitMs the longest time in milliseconds for which the platform waits for a change
     * @return the changes in the order in which they were made; the value is null if there was no change
     */
    CompletionStage<Versioned<UpstreamChanges>> watchUpstreams(long revision, int waitMs);

    /**
     * Reads the evacuations of availability zones.
     *
     * @return the evacuations in force and the revision from which to watch
     */
    CompletionStage<Versioned<EvacuationListing>> listEvacuations();

    /**
     * Waits for a change of the evacuations.
     *
     * @param revision the revision after which changes are reported
     * @param waitMs the longest time in milliseconds for which the platform waits for a change
     * @return the changes in the order in which they were made; the value is null if there was no change
     */
    CompletionStage<Versioned<EvacuationChanges>> watchEvacuations(long revision, int waitMs);

    /**
     * Announces the address on which this router accepts other routers, and what it knows of the ledger.
     *
     * @param announcement the announcement; it replaces one with another address or of an earlier era
     * @return a stage that completes when the announcement is stored
     */
    CompletionStage<Void> announce(RouterAnnouncement announcement);

    /**
     * Checks that the platform answers, with the cheapest call there is and on a connection of its own, so that no
     * older connection that has failed is taken for a failure of the platform.
     *
     * @param router the name and address of this router
     * @return a stage that completes with any answer of the platform that is no refusal
     */
    CompletionStage<Void> probe(RouterAddress router);

    /**
     * Reads the announced routers.
     *
     * @return the routers and the revision from which to watch
     */
    CompletionStage<Versioned<RouterListing>> listRouters();

    /**
     * Waits for a change of the announced routers.
     *
     * @param revision the revision after which changes are reported
     * @param waitMs the longest time in milliseconds for which the platform waits for a change
     * @return the changed routers; the value is null if there was no change
     */
    CompletionStage<Versioned<RouterListing>> watchRouters(long revision, int waitMs);

    /**
     * Reads a ledger page.
     *
     * @param name the name of the page
     * @return the stored page
     */
    CompletionStage<VersionedPage> readLedger(String name);

    /**
     * Reads the ledger pages of all eras.
     *
     * @return the pages by name
     */
    CompletionStage<Map<String, LedgerPage>> listLedgers();

    /**
     * Creates a ledger page unless it exists.
     *
     * @param name the name of the page
     * @param page its content
     * @return the stored page, whether or not it existed before
     */
    CompletionStage<VersionedPage> createLedger(String name, LedgerPage page);

    /**
     * Replaces a ledger page if it still has the base revision of the update.
     *
     * @param name the name of the page
     * @param update the new content and its base revision
     * @return the stored page, whether or not the update was applied
     */
    CompletionStage<VersionedPage> updateLedger(String name, LedgerUpdate update);

    /**
     * Reads the recorded parts of prompts under which upstreams ended.
     *
     * @return all records and the revision from which to watch
     */
    CompletionStage<Versioned<CrashListing>> listCrashes();

    /**
     * Waits for changes of the recorded parts of prompts.
     *
     * @param revision the revision after which changes are reported
     * @param waitMs the longest time in milliseconds for which the platform waits for a change
     * @return the changes in the order in which they were made; the value is null if there was no change
     */
    CompletionStage<Versioned<CrashChanges>> watchCrashes(long revision, int waitMs);

    /**
     * Adds upstreams to the record of a part of prompts, and creates the record if there is none.
     *
     * @param crashes the part and the upstreams that ended under it
     * @return the stored record
     */
    CompletionStage<StoredCrashes> recordCrashes(PartCrashes crashes);

    /**
     * Replaces the record of a part of prompts if it has not changed.
     *
     * @param crashes the new content
     * @param revision the revision that the record must have
     * @return the stored record, whether or not it was replaced
     */
    CompletionStage<StoredCrashes> replaceCrashes(PartCrashes crashes, long revision);

    /**
     * Removes the record of a part of prompts if it has not changed.
     *
     * @param part the part
     * @param revision the revision that the record must have
     * @return true if there is no record any more; false if it has another revision
     */
    CompletionStage<Boolean> removeCrashes(String part, long revision);
}
