package org.vanilladoor.leader;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.exchange.FleetView;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.EndpointPollInterval;
import org.vanilladoor.gateway.ServiceLoadSink;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.gateway.UsageSink;
import org.vanilladoor.lease.LeaseCore;
import org.vanilladoor.lease.LeaseDriver;
import org.vanilladoor.lease.LeaseTiming;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObjectLister;

/**
 * Runs the tasks that one process does for the whole fleet while it holds the fleet lease, and the
 * reporting that all processes do to support them.
 *
 * <p>Every process reports its counts; a few are candidates for the lease. Invariant: a process
 * acts for the fleet only if it holds the lease at that moment. Confined to the control thread.
 */
public final class LeaderTasks implements UsageSink, ServiceLoadSink, FleetView {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
    private static final String LEASE_OBJECT = "lease/fleet";
    private static final String REPORT_PREFIX = "members/";
    private final StableWallClock mWallClock = StableWallClock.create();
    private final ServiceLoadMeter mLoadMeter = ServiceLoadMeter.create();
    private final UsageCounter mUsageCounter;
    private final MemberView mMembers;
    private final MemberReportExchange mExchange;
    private final StoredFleetLease mLease;
    private final UsageReportTask mUsageReportTask;
    private final RoleChangeTask mRoleChangeTask;
    private final ScalingTask mScalingTask;
    private final ObjectStore mStore;
    private final boolean mReportsUsage;

    private LeaderTasks(
            ControlLoop control,
            Dependencies dependencies,
            String vmName,
            long windowMillis,
            LeaseTiming leaseTiming) {
        String incarnation = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        String reportObject = REPORT_PREFIX + vmName + "." + incarnation;
        mStore = dependencies.store();
        mReportsUsage = windowMillis > 0;
        mUsageCounter = UsageCounter.create(mReportsUsage ? windowMillis : 1);
        mMembers = MemberView.create(reportObject);
        mExchange =
                new MemberReportExchange(
                        mStore,
                        dependencies.lister(),
                        mMembers,
                        dependencies.state(),
                        new MemberReportExchange.Measurements(
                                mUsageCounter, mLoadMeter, mWallClock),
                        new MemberReportExchange.ProcessIdentity(
                                reportObject, vmName, incarnation));
        LeaseCore core = LeaseCore.createWithoutPayload(reportObject, leaseTiming);
        mLease =
                new StoredFleetLease(
                        vmName, core, LeaseDriver.start(control, mStore, LEASE_OBJECT, core));
        mUsageReportTask =
                new UsageReportTask(
                        mStore,
                        dependencies.operations(),
                        mMembers,
                        mUsageCounter,
                        mWallClock::nowMillis);
        mRoleChangeTask =
                new RoleChangeTask(
                        control,
                        dependencies.operations(),
                        dependencies.directory(),
                        mMembers,
                        dependencies.state(),
                        dependencies.pollInterval(),
                        dependencies.isLimited());
        mScalingTask =
                new ScalingTask(
                        dependencies.operations(),
                        dependencies.directory(),
                        mMembers,
                        dependencies.state(),
                        dependencies.isLimited());
        control.scheduleWithFixedDelay(TICK_INTERVAL, () -> tick(dependencies.state()));
    }

    /**
     * Starts the periodic tasks of a process.
     *
     * @param vmName name of the VM
     * @param windowMillis length of a usage window in milliseconds, or 0 if usage is not reported
     * @param leaseTiming durations of the fleet lease
     */
    public static LeaderTasks start(
            ControlLoop control,
            Dependencies dependencies,
            String vmName,
            long windowMillis,
            LeaseTiming leaseTiming) {
        return new LeaderTasks(control, dependencies, vmName, windowMillis, leaseTiming);
    }

    @Override
    public boolean isHolder() {
        return mLease.isHeld();
    }

    @Override
    public long term() {
        return mLease.term();
    }

    @Override
    public int countedProcesses() {
        return mMembers.isCounted() ? mMembers.liveProcesses() : 0;
    }

    @Override
    public void publishExchange(Optional<HostPort> address) {
        mExchange.publishExchange(address);
    }

    @Override
    public Optional<HostPort> holderExchange() {
        return mExchange.holderExchange();
    }

    @Override
    public void readHolderExchange() {
        mExchange.readHolderExchange();
    }

    @Override
    public void countStartedRequest(String team) {
        mUsageCounter.countRequest(team, mWallClock.nowMillis());
    }

    @Override
    public void adjust(String service, Gauge gauge, long change) {
        mLoadMeter.change(service, gauge, change, MonotonicClock.nowMillis());
    }

    @Override
    public void count(String service, Counter counter, long number) {
        mLoadMeter.count(service, counter, number, MonotonicClock.nowMillis());
    }

    private void tick(ServingState state) {
        mLease.setWanted(!state.isStopping() && (mLease.isHeld() || mMembers.isCandidate()));
        boolean isHolder = mLease.isHeld();
        mExchange.tick(isHolder);
        if (!mLease.mayCall()) {
            return;
        }
        if (mReportsUsage) {
            mUsageReportTask.tick(mLease);
        }
        mRoleChangeTask.tick(mLease);
        mScalingTask.tick(mLease);
        deleteOneObsoleteReport();
    }

    private void deleteOneObsoleteReport() {
        mMembers.obsoleteReports().stream()
                .limit(1)
                .forEach(
                        reportObject ->
                                mStore.delete(reportObject)
                                        .whenComplete(
                                                (done, failure) ->
                                                        EventLog.write(
                                                                "member",
                                                                "report.deleted",
                                                                "object",
                                                                reportObject,
                                                                "done",
                                                                failure == null)));
    }

    /**
     * The collaborators of the tasks.
     *
     * @param store stores the lease, the reports and the sealed usage windows
     * @param lister lists the reports and the roster
     * @param operations sends orders and usage reports to the platform and the endpoints
     * @param directory known endpoints
     * @param state serving state, which holds the configuration in force
     * @param pollInterval interval at which the VMs notice changes of the endpoints
     * @param isLimited whether an endpoint takes a limited rate of requests at present
     */
    public record Dependencies(
            ObjectStore store,
            StoredObjectLister lister,
            FleetOperations operations,
            EndpointDirectory directory,
            ServingState state,
            EndpointPollInterval pollInterval,
            Predicate<Endpoint> isLimited) {}
}
