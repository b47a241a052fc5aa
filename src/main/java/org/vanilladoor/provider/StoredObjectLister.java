package org.vanilladoor.provider;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Lists all stored objects of a kind with their content.
 *
 * <p>Futures complete on the control thread.
 */
public interface StoredObjectLister {
    /**
     * Lists the objects of the kind to which a name belongs.
     *
     * @param anyName name of any object of the kind
     * @param mayBeStale whether a response that is some seconds old is acceptable; it is cheaper
     *     for the store
     */
    CompletableFuture<List<StoredObject>> listKind(String anyName, boolean mayBeStale);
}
