package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.common.MonotonicClock;

/**
 * Marks in the status of endpoints' entries, by which one VM tells all others that something about
 * an endpoint has changed. All VMs follow the entries anyway.
 *
 * <p>Invariants: setting a mark leaves the rest of the status, such as the announced role, as it
 * is; a mark that this VM has set itself is never reported as new. Confined to the control thread.
 */
final class EndpointMarks {
    private final ObjectClient mStore;
    private final String mIncarnation;
    private final Map<String, String> mKnownMarks = new HashMap<>();

    private EndpointMarks(ObjectClient store, String incarnation) {
        mStore = store;
        mIncarnation = incarnation;
    }

    /**
     * Returns marks of which none is known.
     *
     * @param store holds the entries
     * @param incarnation identifier of this run of the process
     */
    static EndpointMarks create(ObjectClient store, String incarnation) {
        return new EndpointMarks(store, incarnation);
    }

    /** Sets a mark that differs from all earlier ones. */
    CompletableFuture<Void> set(Kind kind, String endpoint) {
        String mark = mIncarnation + "." + MonotonicClock.nowMillis();
        return mStore.updateStatus(
                EndpointFeed.KIND, endpoint, status -> status.put(kind.mField, mark));
    }

    /** Returns whether an entry has a mark of another VM that was not known before. */
    boolean isNew(Kind kind, JsonNode entry) {
        String mark = entry.path("status").path(kind.mField).asText("");
        String key = kind + "/" + ObjectClient.nameOf(entry);
        boolean isChanged = !mark.isEmpty() && !mark.equals(mKnownMarks.put(key, mark));
        return isChanged && !mark.startsWith(mIncarnation + ".");
    }

    /** Forgets the marks of an entry that was removed. */
    void forget(String endpoint) {
        for (Kind kind : Kind.values()) {
            mKnownMarks.remove(kind + "/" + endpoint);
        }
    }

    /** What a mark says. */
    enum Kind {
        /** There is new evidence about prompt parts, since the endpoint has crashed. */
        CRASHED("crash"),
        /** The endpoint no longer limits its requests. */
        LIMIT_ENDED("limit_ended");

        private final String mField;

        Kind(String field) {
            mField = field;
        }

        /** Returns the field of an entry's status that has the mark. */
        String field() {
            return mField;
        }
    }
}
