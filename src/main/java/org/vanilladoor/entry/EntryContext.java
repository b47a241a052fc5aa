package org.vanilladoor.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.DescriptorLimits;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.dispatch.DispatchCore;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.order.DrainRegistry;
import org.vanilladoor.peer.PeerClient;
import org.vanilladoor.provider.HttpPlatform;
import org.vanilladoor.provider.PlatformCallLimiter;
import org.vanilladoor.settings.EntrySettings;
import org.vanilladoor.usage.UsageCounters;

/**
 * The components that the parts of an entry share.
 *
 * <p>The record is immutable, its components are not. The membership, dispatch core and drain
 * registry are confined to the control thread.
 *
 * @param settings settings of the entry
 * @param incarnation unique name of this process; begins with the start time in hexadecimal, so
 *     that a later process of the same VM has a greater one
 * @param control the control thread
 * @param executor runs blocking tasks
 * @param connections HTTP connections to endpoints and the platform
 * @param platform client of the platform
 * @param peerClient client of other entries
 * @param membership view of the other entries
 * @param dispatchCore decides which endpoint serves a call
 * @param drainRegistry stops and resumes new work at endpoints
 * @param usageCounters usage counts of this and other processes
 */
record EntryContext(
        EntrySettings settings,
        String incarnation,
        ControlLoop control,
        ExecutorService executor,
        HttpConnectionPool connections,
        HttpPlatform platform,
        PeerClient peerClient,
        MembershipCore membership,
        DispatchCore dispatchCore,
        DrainRegistry drainRegistry,
        UsageCounters usageCounters) {
    private static final String WRITER_NAME_SEPARATOR = "/";
    private static final long INITIAL_HEARTBEAT = 1;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Returns the components of an entry that has not started yet. */
    static EntryContext create(EntrySettings settings, MetricRegistry metrics) {
        String incarnation =
                Long.toHexString(System.currentTimeMillis()) + "-" + Identifiers.random();
        ExecutorService executor = ThreadPools.newDaemonThreadPool("traffic");
        HttpConnectionPool connections =
                HttpConnectionPool.create(
                        CONNECT_TIMEOUT, DescriptorLimits.ofSystem().ownConnections());
        PlatformCallLimiter budget =
                PlatformCallLimiter.create(
                        settings.platformCallsPerSecond(), MonotonicClock::nowMillis);
        MemberRecord self =
                new MemberRecord(
                        settings.name(),
                        incarnation,
                        settings.failureDomain(),
                        settings.peerAddress(),
                        INITIAL_HEARTBEAT,
                        false);
        DispatchCore dispatchCore =
                DispatchCore.create(
                        settings.failureDomain(), Policies.standard(), new SplittableRandom());
        return new EntryContext(
                settings,
                incarnation,
                ControlLoop.start("control"),
                executor,
                connections,
                HttpPlatform.create(
                        settings.platformAddress(),
                        settings.systemCredential(),
                        connections,
                        executor,
                        metrics,
                        budget),
                PeerClient.create(executor),
                MembershipCore.create(self, settings.peers(), new Random()),
                dispatchCore,
                DrainRegistry.create(dispatchCore),
                UsageCounters.create(incarnation));
    }

    /** Stops the threads and closes the connections. */
    void close() {
        peerClient.close();
        control.close();
        connections.close();
        executor.shutdownNow();
    }

    /** Returns the name under which this process writes leases and orders. */
    String writerName() {
        return settings.name() + WRITER_NAME_SEPARATOR + incarnation;
    }

    /** Returns the VM name contained in a {@link #writerName}. */
    static String vmNameOf(String writerName) {
        return writerName.substring(0, writerName.lastIndexOf(WRITER_NAME_SEPARATOR));
    }

    /** Returns the incarnation contained in a {@link #writerName}. */
    static String incarnationOf(String writerName) {
        return writerName.substring(writerName.lastIndexOf(WRITER_NAME_SEPARATOR) + 1);
    }
}
