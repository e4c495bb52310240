package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerUpdate;
import io.jayhead.admission.prepaid.VersionedPage;
import io.jayhead.routing.catalog.Catalog;
import java.util.concurrent.CompletionStage;

/**
 * The platform's service for configuration, registry and ledger pages.
 *
 * <p>All stages complete on the control thread and fail with {@link PlatformException}.
 */
public interface Platform {

    /**
     * Reads the newest configuration.
     *
     * @return the configuration with the revision to watch from
     */
    CompletionStage<Versioned<Catalog>> readCatalog();

    /**
     * Waits for a newer configuration.
     *
     * @param revision the revision after which changes count
     * @param waitMs how long the platform waits for a change
     * @return the newest configuration, or null as the value if there was no change
     */
    CompletionStage<Versioned<Catalog>> watchCatalog(long revision, int waitMs);

    /**
     * Reads the registry of upstreams.
     *
     * @return all entries with the revision to watch from
     */
    CompletionStage<Versioned<UpstreamListing>> listUpstreams();

    /**
     * Waits for changes of the registry.
     *
     * @param revision the revision after which changes count
     * @param waitMs how long the platform waits for a change
     * @return the changes in their order
     */
    CompletionStage<Versioned<UpstreamChanges>> watchUpstreams(long revision, int waitMs);

    /**
     * Announces where this router listens for other routers.
     *
     * @param router the router
     * @return completes when the announcement is stored
     */
    CompletionStage<Void> announce(RouterAddress router);

    /**
     * Reads the announced routers.
     *
     * @return the routers with the revision to watch from
     */
    CompletionStage<Versioned<RouterListing>> listRouters();

    /**
     * Waits for a change of the announced routers.
     *
     * @param revision the revision after which changes count
     * @param waitMs how long the platform waits for a change
     * @return the changed routers, or null as the value if there was no change
     */
    CompletionStage<Versioned<RouterListing>> watchRouters(long revision, int waitMs);

    /**
     * Reads a ledger page.
     *
     * @param name the name of the page
     * @return the page
     */
    CompletionStage<VersionedPage> readLedger(String name);

    /**
     * Creates an empty ledger page.
     *
     * @param name the name of the page
     * @return the page as it is stored, also if it existed
     */
    CompletionStage<VersionedPage> createLedger(String name);

    /**
     * Replaces a ledger page if it still has the base revision of the update.
     *
     * @param name the name of the page
     * @param update the update
     * @return the page as it is stored, whether or not the update was applied
     */
    CompletionStage<VersionedPage> updateLedger(String name, LedgerUpdate update);
}
