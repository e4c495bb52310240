package io.jayhead.platform;

import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes objects of the platform.
 *
 * <p>Failures of the platform or the network are results too: the futures then complete normally. They may complete
 * on a thread of the HTTP client, so continuations must not block.
 */
public interface ObjectStore {

    /**
     * Reads an object.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @return the object, its absence, or that the platform is unavailable
     */
    CompletableFuture<ReadResult> read(String kind, String name);

    /**
     * Creates an object if there is none of that name.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param body the content, at most 1 MB
     * @return the outcome
     */
    CompletableFuture<WriteResult> create(String kind, String name, String body);

    /**
     * Replaces an object if it still has the expected version.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param expectedVersion the version that was read
     * @param body the content, at most 1 MB
     * @return the outcome
     */
    CompletableFuture<WriteResult> update(String kind, String name, long expectedVersion, String body);

    /**
     * Deletes an object if it still has the expected version.
     *
     * @param kind the kind
     * @param name the name within the kind
     * @param expectedVersion the version that was read
     * @return the outcome; a missing object is a conflict
     */
    CompletableFuture<WriteResult> delete(String kind, String name, long expectedVersion);

    /**
     * Lists all objects whose names start with a prefix.
     *
     * @param kind the kind
     * @param prefix the prefix; empty for all
     * @return the objects of all pages
     */
    CompletableFuture<ListResult> list(String kind, String prefix);

    /**
     * Waits for changes of a kind.
     *
     * @param kind the kind
     * @param sinceRevision the revision after which changes are reported
     * @param waitMs how long the platform waits for a first change
     * @return the changes; none if the wait ended first
     */
    CompletableFuture<WatchResult> watch(String kind, long sinceRevision, long waitMs);

    /**
     * Reads the VM list.
     *
     * @return the VMs; the list lags behind their state
     */
    CompletableFuture<VmListResult> listVms();
}
