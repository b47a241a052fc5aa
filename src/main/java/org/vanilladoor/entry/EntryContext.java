package org.vanilladoor.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import org.vanilladoor.common.ControlLoop;
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
 * What the parts of an entry share.
 *
 * <p>Immutable apart from its parts; membership, core and drains belong to the control thread.
 */
record EntryContext(
        EntrySettings settings,
        String incarnation,
        ControlLoop control,
        ExecutorService threads,
        HttpConnectionPool links,
        HttpPlatform platform,
        PeerClient peers,
        MembershipCore membership,
        DispatchCore core,
        DrainRegistry drains,
        UsageCounters counters) {
    private static final String SEPARATOR = "/";
    private static final Duration CONNECT_LIMIT = Duration.ofMillis(500);

    /** Returns the parts of an entry that has not started. */
    static EntryContext create(EntrySettings settings, MetricRegistry metrics) {
        String incarnation =
                Long.toHexString(System.currentTimeMillis()) + "-" + Identifiers.random();
        ExecutorService threads = ThreadPools.newDaemonThreadPool("traffic");
        HttpConnectionPool links = HttpConnectionPool.create(CONNECT_LIMIT);
        PlatformCallLimiter budget =
                PlatformCallLimiter.create(
                        settings.platformCallsPerSecond(), MonotonicClock::nowMillis);
        MemberRecord self =
                new MemberRecord(
                        settings.name(),
                        incarnation,
                        settings.failureDomain(),
                        settings.peerAddress(),
                        1,
                        false);
        DispatchCore core =
                DispatchCore.create(
                        settings.failureDomain(), Policies.standard(), new SplittableRandom());
        return new EntryContext(
                settings,
                incarnation,
                ControlLoop.start("control"),
                threads,
                links,
                HttpPlatform.create(
                        settings.platformAddress(),
                        settings.systemCredential(),
                        links,
                        threads,
                        metrics,
                        budget),
                PeerClient.create(threads),
                MembershipCore.create(self, settings.peers(), new Random()),
                core,
                DrainRegistry.create(core),
                UsageCounters.create(incarnation));
    }

    /** Ends the threads and closes the connections. */
    void close() {
        peers.close();
        control.close();
        links.close();
        threads.shutdownNow();
    }

    /** Returns the name under which this process writes leases and orders. */
    String writerName() {
        return settings.name() + SEPARATOR + incarnation;
    }

    /** Returns the VM's name in a name made by {@link #writerName}. */
    static String machineOf(String writerName) {
        return writerName.substring(0, writerName.lastIndexOf(SEPARATOR));
    }

    /** Returns the incarnation in a name made by {@link #writerName}. */
    static String incarnationOf(String writerName) {
        return writerName.substring(writerName.lastIndexOf(SEPARATOR) + 1);
    }
}
