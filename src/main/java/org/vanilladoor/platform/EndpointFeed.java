package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.gateway.ServingState;

/**
 * Updates the directory of endpoints from their entries in the store.
 *
 * <p>An endpoint whose entry can't be decoded is handled as removed; other endpoints are not
 * affected. Confined to the control thread.
 */
final class EndpointFeed implements StoreFeed.Listener {
    /** Kind of the endpoints' entries; the platform calls an endpoint a server. */
    static final String KIND = "servers";

    /** What is needed of an entry. */
    private static final JsonSelection SELECTION =
            JsonSelection.ofFields(
                    Map.of("spec", EndpointDecoder.SPEC, "status", statusSelection()));

    private final EndpointDirectory mDirectory;
    private final ServingState mState;
    private final EndpointMarks mMarks;
    private final NewsListener mNewsListener;

    private EndpointFeed(
            EndpointDirectory directory,
            ServingState state,
            EndpointMarks marks,
            NewsListener newsListener) {
        mDirectory = directory;
        mState = state;
        mMarks = marks;
        mNewsListener = newsListener;
    }

    /**
     * Returns a feed.
     *
     * @param marks recognizes new marks
     * @param newsListener receives what other VMs tell by marks
     */
    static EndpointFeed create(
            EndpointDirectory directory,
            ServingState state,
            EndpointMarks marks,
            NewsListener newsListener) {
        return new EndpointFeed(directory, state, marks, newsListener);
    }

    @Override
    public JsonSelection selection() {
        return SELECTION;
    }

    @Override
    public boolean isOfUse(JsonNode object) {
        return decode(object).isPresent();
    }

    @Override
    public void onListed(List<JsonNode> objects) {
        List<Endpoint> endpoints = new ArrayList<>();
        objects.forEach(object -> decode(object).ifPresent(endpoints::add));
        mDirectory.replaceAll(endpoints, MonotonicClock.nowMillis());
        EventLog.write("endpoints", "listed", "count", endpoints.size());
        mState.markEndpointsListed();
        objects.forEach(this::reportNews);
        mNewsListener.onCrashSuspected();
    }

    @Override
    public void onChanged(JsonNode object) {
        reportNews(object);
        Optional<Endpoint> endpoint = decode(object);
        if (endpoint.isEmpty()) {
            mDirectory.remove(ObjectClient.nameOf(object), MonotonicClock.nowMillis());
            return;
        }
        boolean isDifferent = !mDirectory.find(endpoint.get().name()).equals(endpoint);
        mDirectory.put(endpoint.get());
        if (isDifferent) {
            EventLog.write(
                    "endpoints",
                    "changed",
                    "endpoint",
                    endpoint.get().name(),
                    "service",
                    endpoint.get().service(),
                    "version",
                    endpoint.get().version(),
                    "role",
                    endpoint.get().role(),
                    "changing",
                    endpoint.get().changing(),
                    "leaving",
                    endpoint.get().leaving());
        }
    }

    private void reportNews(JsonNode object) {
        if (mMarks.isNew(EndpointMarks.Kind.CRASHED, object)) {
            mNewsListener.onCrashSuspected();
        }
        if (mMarks.isNew(EndpointMarks.Kind.LIMIT_ENDED, object)) {
            mNewsListener.onLimitEnded(ObjectClient.nameOf(object));
        }
    }

    @Override
    public void onRemoved(String name) {
        mMarks.forget(name);
        if (mDirectory.find(name).filter(endpoint -> !endpoint.leaving()).isPresent()) {
            mNewsListener.onCrashSuspected();
        }
        mDirectory.remove(name, MonotonicClock.nowMillis());
        EventLog.write("endpoints", "removed", "endpoint", name);
    }

    @Override
    public void onConfirmed(long confirmedMillis) {
        // Nothing to do: the last known endpoints are used, however old the information is.
    }

    @Override
    public void onStoreAvailable() {
        mDirectory.markStoreAvailable(MonotonicClock.nowMillis());
    }

    @Override
    public void onStoreUnavailable() {
        mDirectory.markStoreUnavailable();
    }

    /** Receives what other VMs tell about endpoints, on the control thread. */
    interface NewsListener {
        /**
         * Called when another VM has marked an endpoint as crashed, when an endpoint has
         * disappeared without notice, and after each listing.
         */
        void onCrashSuspected();

        /** Called when another VM has marked an endpoint as no longer limited. */
        void onLimitEnded(String endpoint);
    }

    private static JsonSelection statusSelection() {
        Map<String, JsonSelection> fields = new HashMap<>();
        EndpointDecoder.ANNOUNCEMENT_FIELDS.forEach(
                field -> fields.put(field, JsonSelection.SCALAR));
        for (EndpointMarks.Kind kind : EndpointMarks.Kind.values()) {
            fields.put(kind.field(), JsonSelection.SCALAR);
        }
        return JsonSelection.ofFields(fields);
    }

    private static Optional<Endpoint> decode(JsonNode object) {
        String name = ObjectClient.nameOf(object);
        try {
            return Optional.of(
                    EndpointDecoder.decode(name, object.path("spec"), object.path("status")));
        } catch (RuntimeException e) {
            EventLog.write("endpoints", "unreadable", "entry", name, "reason", e.getMessage());
            return Optional.empty();
        }
    }
}
