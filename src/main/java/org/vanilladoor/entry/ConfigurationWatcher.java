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
 * Brings accepted configurations from the platform.
 *
 * <p>One watcher and one deputy of each failure domain wait on the platform; the others hear from
 * their peers. Belongs to the control thread.
 */
final class ConfigurationWatcher {
    private static final Logger LOG = LogManager.getLogger(ConfigurationWatcher.class);
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final Duration PAUSE = Duration.ofMillis(500);
    private static final int WATCHERS = 2;
    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final ConfigurationStore mConfigurations;
    private final ActiveConfiguration mKeeper;
    private final MembershipCore mMembership;
    private long mObjectVersion;
    private final Runnable mPlatformHeard;

    private ConfigurationWatcher(
            ControlLoop control,
            ObjectStore store,
            ActiveConfiguration keeper,
            MembershipCore membership,
            Runnable platformHeard) {
        mControl = control;
        mStore = store;
        mPlatformHeard = platformHeard;
        mConfigurations = ConfigurationStore.create(store);
        mKeeper = keeper;
        mMembership = membership;
    }

    static ConfigurationWatcher start(
            ControlLoop control,
            ObjectStore store,
            ActiveConfiguration keeper,
            MembershipCore membership,
            Runnable platformHeard) {
        ConfigurationWatcher watcher =
                new ConfigurationWatcher(control, store, keeper, membership, platformHeard);
        control.execute(watcher::readFirst);
        return watcher;
    }

    /** Every process reads once at its start; a peer's version may be older than the platform's. */
    private void readFirst() {
        mConfigurations
                .read(mKeeper.current())
                .whenComplete(
                        (configuration, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null) {
                                                take(configuration);
                                                watch();
                                            } else {
                                                mControl.schedule(PAUSE, this::readFirst);
                                            }
                                        }));
    }

    private void watch() {
        if (!isWatcher()) {
            mControl.schedule(PAUSE, this::watch);
            return;
        }
        mStore.watch(ConfigurationHead.OBJECT, mObjectVersion, WAIT)
                .thenCompose(
                        found ->
                                found.map(
                                                object -> {
                                                    mControl.execute(
                                                            () ->
                                                                    mObjectVersion =
                                                                            object.version());
                                                    return mConfigurations.load(
                                                            object, mKeeper.current());
                                                })
                                        .orElseGet(
                                                () ->
                                                        CompletableFuture.completedFuture(
                                                                mKeeper.current())))
                .whenComplete(
                        (configuration, failure) ->
                                mControl.execute(() -> watched(configuration, failure)));
    }

    private void watched(Configuration configuration, Throwable failure) {
        if (failure != null) {
            LOG.info("configuration: The watch ended: {}.", failure.getMessage());
            mObjectVersion = 0;
            mControl.schedule(PAUSE, this::watch);
        } else {
            take(configuration);
            watch();
        }
    }

    private void take(Configuration configuration) {
        mPlatformHeard.run();
        if (mKeeper.replaceIfNewer(configuration)) {
            LOG.info("configuration: Version {} is in force.", configuration.version());
        }
    }

    private boolean isWatcher() {
        String domain = mMembership.self().failureDomain();
        return RendezvousRanking.rank(
                        "watch/" + domain,
                        mMembership.liveNames(domain, MonotonicClock.nowMillis()))
                .stream()
                .limit(WATCHERS)
                .anyMatch(mMembership.self().name()::equals);
    }
}
