package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServingConfiguration;

/**
 * Brings the operator's configuration into force.
 *
 * <p>Invariant: nothing is confirmed before a configuration is in force, nor after one that can't
 * be read. Belongs to the control thread.
 */
final class ConfigurationFeed implements StoreFeed.Listener {
    static final String KIND = "config";
    private static final String NEWEST = "main";
    private final ServingState mState;
    private boolean mReadable;

    private ConfigurationFeed(ServingState state) {
        mState = state;
    }

    static ConfigurationFeed create(ServingState state) {
        return new ConfigurationFeed(state);
    }

    @Override
    public void listed(List<JsonNode> objects) {
        objects.forEach(this::changed);
    }

    @Override
    public void changed(JsonNode object) {
        if (!ObjectClient.nameOf(object).equals(NEWEST)) {
            return;
        }
        try {
            ServingConfiguration configuration = ConfigurationDecoder.decode(object.path("spec"));
            boolean accepted = mState.applyIfNewer(configuration);
            mReadable = true;
            EventLog.write(
                    "configuration",
                    accepted ? "version.in_force" : "version.passed_over",
                    "version",
                    configuration.version(),
                    "revision",
                    object.path("meta").path("rev").asLong());
        } catch (IllegalArgumentException e) {
            mReadable = false;
            EventLog.write("configuration", "version.unreadable", "reason", e.getMessage());
        }
    }

    @Override
    public void removed(String name) {
        EventLog.write("configuration", "object.removed", "name", name);
    }

    @Override
    public void confirmed(long askedMillis) {
        if (mReadable) {
            mState.confirmNewest(askedMillis);
        }
    }

    @Override
    public void back() {
        // The confirmation says it.
    }

    @Override
    public void away() {
        // The age of the confirmation says it.
    }
}
