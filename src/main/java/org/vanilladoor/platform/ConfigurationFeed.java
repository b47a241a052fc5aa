package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServingConfiguration;

/**
 * Puts the operator's configuration in force as the store reports it.
 *
 * <p>Invariant: the configuration is confirmed as the newest only once one is in force and only
 * while the latest one that the store reported could be decoded. Confined to the control thread.
 */
final class ConfigurationFeed implements StoreFeed.Listener {
    /** Kind of the configuration objects in the platform's store. */
    static final String KIND = "config";

    /** Name of the object that holds the configuration to be used. */
    private static final String CURRENT_NAME = "main";

    private final ServingState mState;
    private boolean mLatestDecodable;

    private ConfigurationFeed(ServingState state) {
        mState = state;
    }

    static ConfigurationFeed create(ServingState state) {
        return new ConfigurationFeed(state);
    }

    @Override
    public boolean isOfUse(JsonNode object) {
        return ObjectClient.nameOf(object).equals(CURRENT_NAME);
    }

    @Override
    public void onListed(List<JsonNode> objects) {
        objects.forEach(this::onChanged);
    }

    @Override
    public void onChanged(JsonNode object) {
        if (!ObjectClient.nameOf(object).equals(CURRENT_NAME)) {
            return;
        }
        try {
            ServingConfiguration configuration =
                    ConfigurationDecoder.decode(object.path("spec"), mState.configuration());
            boolean isNewer = mState.applyIfNewer(configuration);
            mLatestDecodable = true;
            EventLog.write(
                    "configuration",
                    isNewer ? "version.in_force" : "version.passed_over",
                    "version",
                    configuration.version(),
                    "revision",
                    object.path("meta").path("rev").asLong());
        } catch (RuntimeException e) {
            mLatestDecodable = false;
            EventLog.write("configuration", "version.unreadable", "reason", e.getMessage());
        }
    }

    @Override
    public void onRemoved(String name) {
        EventLog.write("configuration", "object.removed", "name", name);
    }

    @Override
    public void onConfirmed(long confirmedMillis) {
        if (mLatestDecodable) {
            mState.confirmNewest(confirmedMillis);
        }
    }

    @Override
    public void onStoreAvailable() {
        // Nothing to do: the configuration is confirmed by onConfirmed.
    }

    @Override
    public void onStoreUnavailable() {
        // Nothing to do: the confirmation in ServingState becomes too old.
    }
}
