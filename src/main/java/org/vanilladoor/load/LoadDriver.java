package org.vanilladoor.load;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.WorkClass;

/**
 * Sends calls at a constant rate, whether or not earlier calls have ended (an open-loop load).
 *
 * <p>Times are measured from the planned start of each call, so that a stall counts in every call
 * that it delays. Not safe for use by several threads; {@link #run} uses threads of its own.
 */
public final class LoadDriver {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MAXIMUM_PARK_MILLIS = 50;
    private final List<HostPort> mEntries;
    private final Targets mTargets;
    private final LoadMix mMix;
    private final LoadTally mTally = LoadTally.create();

    private LoadDriver(List<HostPort> entries, Targets targets, LoadMix mix) {
        mEntries = List.copyOf(entries);
        mTargets = targets;
        mMix = mix;
    }

    /**
     * Returns a driver.
     *
     * @param entries callers' addresses of the entries, which receive the calls in turn
     * @param targets classes of work with their targets, against which the results are counted
     * @param mix generates the calls
     */
    public static LoadDriver create(List<HostPort> entries, Targets targets, LoadMix mix) {
        return new LoadDriver(entries, targets, mix);
    }

    /**
     * Sends calls, waits until all have ended and returns the counts of all runs of this driver.
     *
     * @param callsPerSecond constant rate of the calls
     * @param seconds duration of the load
     */
    public LoadTally run(double callsPerSecond, int seconds) {
        ExecutorService threads = ThreadPools.newDaemonThreadPool("load");
        Phaser openCalls = new Phaser(1);
        long callCount = Math.round(callsPerSecond * seconds);
        long startNanos = System.nanoTime();
        try (CallerClient client = CallerClient.create()) {
            for (long i = 0; i < callCount; i++) {
                long plannedNanos = startNanos + (long) (i / callsPerSecond * NANOS_PER_SECOND);
                sleepUntil(plannedNanos);
                HostPort entry = mEntries.get((int) (i % mEntries.size()));
                PlannedCall call = mMix.nextCall();
                openCalls.register();
                threads.execute(() -> send(client, entry, call, plannedNanos, openCalls));
            }
            openCalls.arriveAndAwaitAdvance();
        } finally {
            threads.shutdownNow();
        }
        return mTally;
    }

    private void send(
            CallerClient client,
            HostPort entry,
            PlannedCall call,
            long plannedNanos,
            Phaser openCalls) {
        try {
            CallResult result =
                    call.isModelWork()
                            ? client.sendChat(entry, call, plannedNanos)
                            : client.sendServiceCall(entry, call, plannedNanos);
            WorkClass workClass = mTargets.workClass(call.workClass()).orElseThrow();
            mTally.record(workClass, call.team(), result);
        } finally {
            openCalls.arriveAndDeregister();
        }
    }

    private static void sleepUntil(long deadlineNanos) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(
                    Math.min(remainingNanos, TimeUnit.MILLISECONDS.toNanos(MAXIMUM_PARK_MILLIS)));
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }
}
