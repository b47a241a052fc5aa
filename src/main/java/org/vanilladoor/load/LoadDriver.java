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
 * Sends calls at a steady rate, whether or not earlier ones have ended.
 *
 * <p>Times count from the planned start of each call, so that a stall is seen by all the calls it
 * delays. Used by one thread.
 */
public final class LoadDriver {
    private static final double NANOS_PER_SECOND = 1e9;
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
     * @param entries callers' ports of the entries, taken in turn
     * @param targets names the classes with their targets
     * @param mix draws the calls
     */
    public static LoadDriver create(List<HostPort> entries, Targets targets, LoadMix mix) {
        return new LoadDriver(entries, targets, mix);
    }

    /**
     * Sends calls and waits for all of them.
     *
     * @param callsPerSecond rate
     * @param seconds length
     */
    public LoadTally run(double callsPerSecond, int seconds) {
        ExecutorService threads = ThreadPools.traffic("load");
        Phaser open = new Phaser(1);
        long count = Math.round(callsPerSecond * seconds);
        long begin = System.nanoTime();
        try (CallerClient client = CallerClient.create()) {
            for (long i = 0; i < count; i++) {
                long planned = begin + (long) (i / callsPerSecond * NANOS_PER_SECOND);
                waitUntil(planned);
                HostPort entry = mEntries.get((int) (i % mEntries.size()));
                PlannedCall call = mMix.next();
                open.register();
                threads.execute(() -> send(client, entry, call, planned, open));
            }
            open.arriveAndAwaitAdvance();
        } finally {
            threads.shutdownNow();
        }
        return mTally;
    }

    private void send(
            CallerClient client, HostPort entry, PlannedCall call, long planned, Phaser open) {
        try {
            CallResult result =
                    call.isModelWork()
                            ? client.sendChat(entry, call, planned)
                            : client.sendServiceCall(entry, call, planned);
            WorkClass workClass = mTargets.workClass(call.workClass()).orElseThrow();
            mTally.add(workClass, call.team(), result);
        } finally {
            open.arriveAndDeregister();
        }
    }

    private static void waitUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(Math.min(left, TimeUnit.MILLISECONDS.toNanos(50)));
            left = nanos - System.nanoTime();
        }
    }
}
