package org.vanilladoor.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.configuration.ActiveConfiguration;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.ConfigurationHead;
import org.vanilladoor.configuration.ConfigurationStore;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.provider.ObjectStore;

/**
 * Reads accepted configurations from the platform's object store.
 *
 * <p>Two entries of each failure domain watch the stored configuration; the other entries receive
 * new versions from their peers. Confined to the control thread.
 */
final class ConfigurationWatcher {
    private static final Logger LOG = LogManager.getLogger(ConfigurationWatcher.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final int WATCHERS_PER_FAILURE_DOMAIN = 2;
    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final ConfigurationStore mConfigurationStore;
    private final ActiveConfiguration mConfiguration;
    private final MembershipCore mMembership;
    private long mObjectVersion;
    private final Runnable mOnPlatformContact;

    private ConfigurationWatcher(
            ControlLoop control,
            ObjectStore store,
            ActiveConfiguration configuration,
            MembershipCore membership,
            Runnable onPlatformContact) {
        mControl = control;
        mStore = store;
        mOnPlatformContact = onPlatformContact;
        mConfigurationStore = ConfigurationStore.create(store);
        mConfiguration = configuration;
        mMembership = membership;
    }

    static ConfigurationWatcher start(
            ControlLoop control,
            ObjectStore store,
            ActiveConfiguration configuration,
            MembershipCore membership,
            Runnable onPlatformContact) {
        ConfigurationWatcher watcher =
                new ConfigurationWatcher(
                        control, store, configuration, membership, onPlatformContact);
        control.execute(watcher::readInitialConfiguration);
        return watcher;
    }

    /**
     * Reads the stored configuration until that succeeds once, then starts to watch it.
     *
     * <p>Every process does this at its start because a peer's version may be older than the stored
     * one.
     */
    private void readInitialConfiguration() {
        mConfigurationStore
                .read(mConfiguration.current())
                .whenComplete(
                        (configuration, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null) {
                                                activate(configuration);
                                                watchPlatform();
                                            } else {
                                                mControl.schedule(
                                                        RETRY_DELAY,
                                                        this::readInitialConfiguration);
                                            }
                                        }));
    }

    private void watchPlatform() {
        if (!isWatcher()) {
            mControl.schedule(RETRY_DELAY, this::watchPlatform);
            return;
        }
        mStore.watch(ConfigurationHead.OBJECT, mObjectVersion, WATCH_TIMEOUT)
                .thenCompose(
                        found ->
                                found.map(
                                                object -> {
                                                    mControl.execute(
                                                            () ->
                                                                    mObjectVersion =
                                                                            object.version());
                                                    return mConfigurationStore.load(
                                                            object, mConfiguration.current());
                                                })
                                        .orElseGet(
                                                () ->
                                                        CompletableFuture.completedFuture(
                                                                mConfiguration.current())))
                .whenComplete(
                        (configuration, failure) ->
                                mControl.execute(() -> onWatchResult(configuration, failure)));
    }

    private void onWatchResult(Configuration configuration, Throwable failure) {
        if (failure != null) {
            LOG.info(
                    "configuration: Watching the stored configuration failed: {}.",
                    failure.getMessage());
            mObjectVersion = 0;
            mControl.schedule(RETRY_DELAY, this::watchPlatform);
        } else {
            activate(configuration);
            watchPlatform();
        }
    }

    private void activate(Configuration configuration) {
        mOnPlatformContact.run();
        if (mConfiguration.replaceIfNewer(configuration)) {
            LOG.info("configuration: Version {} is in force.", configuration.version());
        }
    }

    private boolean isWatcher() {
        String domain = mMembership.self().failureDomain();
        return RendezvousRanking.rank(
                        "watch/" + domain,
                        mMembership.liveNames(domain, MonotonicClock.nowMillis()))
                .stream()
                .limit(WATCHERS_PER_FAILURE_DOMAIN)
                .anyMatch(mMembership.self().name()::equals);
    }
}
