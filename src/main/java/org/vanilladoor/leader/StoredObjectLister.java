package org.vanilladoor.leader;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.provider.StoredObject;

/**
 * Lists whole kinds of stored objects with their content.
 *
 * <p>Futures complete on the control thread.
 */
public interface StoredObjectLister {
    /**
     * Returns all objects of the kind that the name belongs to.
     *
     * @param anyName name of any object of the kind
     * @param mayBeStale whether an answer that is some seconds old will do, which is cheaper
     */
    CompletableFuture<List<StoredObject>> listKind(String anyName, boolean mayBeStale);
}
