package org.vanilladoor.duty;

import java.time.Duration;
import org.vanilladoor.authority.LeaseCore;
import org.vanilladoor.authority.LeaseKeeper;
import org.vanilladoor.authority.LeaseTiming;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.gateway.ServiceLoadSink;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.gateway.UsageSink;
import org.vanilladoor.provider.ObjectStore;

/**
 * What one process does for the whole fleet while it holds the lease, and what all do for that.
 *
 * <p>Every process reports its counts; a few stand by for the lease. Invariant: nothing is done for
 * the fleet unless the lease is held right then. Belongs to the control thread.
 */
public final class Duties implements UsageSink, ServiceLoadSink {
    private static final Duration PULSE = Duration.ofMillis(200);
    private static final String LEASE = "lease/fleet";
    private static final String REPORTS = "members/";
    private final WallTime mWallTime = WallTime.create();
    private final WorkMeter mMeter = WorkMeter.create();
    private final UsageLedger mLedger;
    private final MemberBoard mBoard;
    private final MemberExchange mExchange;
    private final KeptLease mLease;
    private final UsageDuty mUsage;
    private final RoleDuty mRoles;
    private final SizeDuty mSize;
    private final ObjectStore mStore;
    private final boolean mReportsUsage;

    private Duties(ControlLoop control, Surroundings around, String machine, long windowMillis) {
        String incarnation = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        String object = REPORTS + machine + "." + incarnation;
        mStore = around.store();
        mReportsUsage = windowMillis > 0;
        mLedger = UsageLedger.create(mReportsUsage ? windowMillis : 1);
        mBoard = MemberBoard.create(object);
        mExchange =
                new MemberExchange(
                        mStore,
                        around.reports(),
                        mBoard,
                        around.state(),
                        new MemberExchange.Counts(mLedger, mMeter, mWallTime),
                        new MemberExchange.Self(object, machine, incarnation));
        LeaseCore core = LeaseCore.create(object, LeaseTiming.standard());
        mLease = new KeptLease(machine, core, LeaseKeeper.start(control, mStore, LEASE, core));
        mUsage = new UsageDuty(mStore, around.orders(), mBoard, mLedger, mWallTime::nowMillis);
        mRoles = new RoleDuty(control, around.orders(), around.directory(), mBoard, around.state());
        mSize = new SizeDuty(around.orders(), around.directory(), mBoard, around.state());
        control.repeat(PULSE, () -> pulse(around.state()));
    }

    /**
     * Starts the duties of a process.
     *
     * @param machine name of the VM
     * @param windowMillis length of a usage window, or 0 if usage is not reported
     */
    public static Duties start(
            ControlLoop control, Surroundings around, String machine, long windowMillis) {
        return new Duties(control, around, machine, windowMillis);
    }

    @Override
    public void countStartedRequest(String team) {
        mLedger.began(team, mWallTime.nowMillis());
    }

    @Override
    public void adjustPrefills(String service, int change) {
        mMeter.reading(service, change, MonotonicClock.nowMillis());
    }

    @Override
    public void adjustRunning(String service, int change) {
        mMeter.running(service, change, MonotonicClock.nowMillis());
    }

    private void pulse(ServingState state) {
        mLease.want(!state.isStopping() && (mLease.isHeld() || mBoard.isCandidate()));
        boolean holder = mLease.isHeld();
        mExchange.pulse(holder);
        if (!holder) {
            return;
        }
        if (mReportsUsage) {
            mUsage.pulse(mLease);
        }
        mRoles.pulse(mLease);
        mSize.pulse(mLease);
        forgetObsolete();
    }

    private void forgetObsolete() {
        mBoard.obsolete().stream()
                .limit(1)
                .forEach(
                        object ->
                                mStore.delete(object)
                                        .whenComplete(
                                                (done, failure) ->
                                                        EventLog.write(
                                                                "member",
                                                                "report.deleted",
                                                                "object",
                                                                object,
                                                                "done",
                                                                failure == null)));
    }

    /**
     * What the duties work with.
     *
     * @param store keeps lease, reports and sealed windows
     * @param reports lists the reports
     * @param orders tells the platform and the endpoints
     * @param directory the endpoints
     * @param state configuration in force
     */
    public record Surroundings(
            ObjectStore store,
            StoredReports reports,
            FleetOrders orders,
            EndpointDirectory directory,
            ServingState state) {}
}
