package org.vanilladoor.entry;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.caller.CallerContext;
import org.vanilladoor.caller.CallerHandler;
import org.vanilladoor.caller.EntryState;
import org.vanilladoor.caller.OpenCalls;
import org.vanilladoor.claim.ClaimLog;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.DescriptorLimits;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.configuration.ActiveConfiguration;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.dispatch.Dispatcher;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.http.HttpService;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.peer.PeerServer;
import org.vanilladoor.provider.HttpPlatform;
import org.vanilladoor.report.LevelRow;
import org.vanilladoor.report.ServiceLevels;
import org.vanilladoor.settings.EntrySettings;

/**
 * An entry process with all its components.
 *
 * <p>Invariant: it accepts requests only once a configuration is in force and the endpoints have
 * been listed. All public methods may be called by any thread.
 */
public final class Entry implements EntryState, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Entry.class);
    private static final Duration ENDPOINT_LIST_PERIOD = Duration.ofSeconds(1);
    private static final Duration READINESS_PERIOD = Duration.ofMillis(50);
    private static final Duration CALLER_SERVICE_STOP_LIMIT = Duration.ofSeconds(1);
    private static final long UNINFORMED_LIMIT_MILLIS = 10_000;
    private final EntryContext mContext;
    private final EntrySettings mSettings;
    private final ControlLoop mControl;
    private final MetricRegistry mMetrics;
    private final ActiveConfiguration mConfiguration = ActiveConfiguration.create();
    private final OpenCalls mOpenCalls = OpenCalls.create();
    private final ServiceLevels mServiceLevels;
    private final Dispatcher mDispatcher;
    private PeerGossip mGossip;
    private LeaseHolderTasks mLeaseHolderTasks;
    private PeerServer mPeerServer;
    private HttpService mCallerService;
    private HttpService mOperatorService;
    private volatile Availability mAvailability = Availability.STARTING;
    private volatile boolean mInformed = true;
    private volatile boolean mBalancerGraceOver;
    private volatile boolean mEndpointsListed;

    private Entry(EntryContext context, MetricRegistry metrics) {
        mContext = context;
        mSettings = context.settings();
        mControl = context.control();
        mMetrics = metrics;
        mServiceLevels =
                ServiceLevels.create(metrics, context.usageCounters(), System::currentTimeMillis);
        mDispatcher = Dispatcher.start(mControl, context.dispatchCore());
    }

    /**
     * Starts an entry.
     *
     * @param settings settings of the entry
     * @param tls context for TLS towards callers, or null for plain HTTP
     * @throws IOException if an address can't be bound
     */
    public static Entry start(EntrySettings settings, SSLContext tls) throws IOException {
        MetricRegistry metrics = new MetricRegistry();
        Entry entry = new Entry(EntryContext.create(settings, metrics), metrics);
        entry.startPeers();
        entry.startWatchers();
        entry.startServices(tls);
        LOG.info("entry: {} accepts callers on {}.", settings.name(), entry.callerAddress());
        return entry;
    }

    /** Returns the address that callers connect to. */
    public HostPort callerAddress() {
        return mCallerService.address();
    }

    /** Returns the address that operators connect to. */
    public HostPort operatorAddress() {
        return mOperatorService.address();
    }

    /** Returns whether this process accepts requests. */
    public boolean isReady() {
        return mAvailability == Availability.SERVING;
    }

    /** Returns the number of caller connections with a request that is not completely answered. */
    public int busyCallers() {
        return mCallerService.busyConnections();
    }

    /** Returns whether {@link #stop} was called and the grace period for the balancer is over. */
    public boolean isBalancerGraceOver() {
        return mBalancerGraceOver;
    }

    /** Returns how calls of the last minutes compare with the targets of their classes. */
    public List<LevelRow> levels(int minutes) {
        return mServiceLevels.rowsForLastMinutes(minutes);
    }

    /** Returns the number of calls that this process has sent to the platform, by kind. */
    public Map<String, Long> platformCalls() {
        Map<String, Long> calls = new TreeMap<>();
        mMetrics.getCounters().forEach((name, counter) -> calls.put(name, counter.getCount()));
        return calls;
    }

    /** Returns whether an endpoint is about to be removed, or is unknown. */
    public boolean isLeaving(String endpoint) {
        return mDispatcher
                .query(core -> core.endpoint(endpoint))
                .join()
                .map(EndpointView::leaving)
                .orElse(true);
    }

    /**
     * Stops gracefully: no request that ends within the drain limit is aborted.
     *
     * <p>First the entry reports that it is not ready and waits for the grace period in which the
     * balancer stops sending requests to it. Then it waits for open calls to end, replicates its
     * usage counts and releases its leases. Each of these waits has a limit. Blocks until all of
     * this is done.
     */
    public void stop() {
        LOG.info("entry: {} is stopping.", mSettings.name());
        mAvailability = Availability.DRAINING;
        mGossip.announceLeaving();
        sleep(mSettings.balancerGrace());
        mBalancerGraceOver = true;
        long endMillis = MonotonicClock.nowMillis() + mSettings.drainLimit().toMillis();
        while (busyCallers() + mOpenCalls.size() > 0 && MonotonicClock.nowMillis() < endMillis) {
            sleep(READINESS_PERIOD);
        }
        mCallerService.stop(CALLER_SERVICE_STOP_LIMIT);
        mLeaseHolderTasks.shutDown();
        close();
        LOG.info(
                "entry: {} has stopped; {} calls were still open.",
                mSettings.name(),
                mOpenCalls.size());
    }

    @Override
    public Configuration configuration() {
        return mConfiguration.current();
    }

    @Override
    public Availability availability() {
        return mAvailability;
    }

    @Override
    public boolean receivesKeyWithdrawals() {
        return mInformed;
    }

    @Override
    public void close() {
        mCallerService.close();
        mOperatorService.close();
        mPeerServer.close();
        mContext.close();
    }

    EntrySettings settings() {
        return mSettings;
    }

    MetricRegistry metrics() {
        return mMetrics;
    }

    ActiveConfiguration activeConfiguration() {
        return mConfiguration;
    }

    HttpPlatform platform() {
        return mContext.platform();
    }

    Dispatcher dispatcher() {
        return mDispatcher;
    }

    List<MemberRecord> members() {
        return mGossip.liveMembers().join();
    }

    LeaseHolderTasks leaseHolderTasks() {
        return mLeaseHolderTasks;
    }

    int openCalls() {
        return mOpenCalls.size();
    }

    private void startPeers() throws IOException {
        LoadTable loadTable = LoadTable.create(this::onLoadReport);
        mGossip = PeerGossip.start(mContext, mConfiguration, loadTable);
        mLeaseHolderTasks = LeaseHolderTasks.start(mContext);
        mPeerServer =
                PeerServer.start(
                        mSettings.peerAddress(),
                        PeerHandler.create(
                                mContext,
                                mGossip,
                                mConfiguration,
                                mLeaseHolderTasks::stopSendingOrders));
        LoadPoller.start(mContext, loadTable);
    }

    private void startWatchers() {
        mConfiguration.addListener(this::onConfigurationChanged);
        ConfigurationWatcher.start(
                mControl,
                mContext.platform(),
                mConfiguration,
                mContext.membership(),
                mGossip::recordPlatformContact);
        mControl.scheduleWithFixedDelay(ENDPOINT_LIST_PERIOD, this::listEndpoints);
        mControl.execute(this::listEndpoints);
        mControl.scheduleWithFixedDelay(READINESS_PERIOD, this::updateReadiness);
    }

    private void startServices(SSLContext tls) throws IOException {
        ClaimLog claimLog = ClaimLog.start(mControl, mContext.platform(), this::claimRetention);
        CallerContext callerContext =
                CallerContext.create(
                        mDispatcher,
                        mContext.connections(),
                        mSettings.systemCredential(),
                        mOpenCalls,
                        mServiceLevels,
                        claimLog);
        mCallerService =
                HttpService.start(
                        "caller",
                        mSettings.callerAddress(),
                        DescriptorLimits.ofSystem().callerConnections(),
                        mSettings.callerIdle(),
                        tls,
                        CallerHandler.create(this, callerContext, mSettings.maximumBodyBytes()));
        mOperatorService =
                HttpService.start(
                        "operator",
                        mSettings.operatorAddress(),
                        DescriptorLimits.OPERATOR_CONNECTIONS,
                        mSettings.callerIdle(),
                        null,
                        OperatorHandler.create(this));
    }

    private Duration claimRetention() {
        return Duration.ofMinutes(configuration().targets().limits().claimRetentionMinutes());
    }

    private void onConfigurationChanged(Configuration configuration) {
        mControl.execute(() -> mContext.dispatchCore().setTargets(configuration.targets()));
        mOpenCalls.abortCallsOfWithdrawnKeys(configuration.keys());
    }

    private void onLoadReport(String endpoint, LoadReport report, long takenMillis) {
        boolean isNewlyLeaving = report.leaving() && !isKnownToBeLeaving(endpoint);
        long ageMillis = MonotonicClock.nowMillis() - takenMillis;
        mContext.dispatchCore().recordLoad(endpoint, report, ageMillis);
        if (isNewlyLeaving) {
            mGossip.gossipNow();
        }
        mLeaseHolderTasks.recordAppliedOrder(endpoint, report.appliedOrder());
    }

    private boolean isKnownToBeLeaving(String endpoint) {
        return mContext.dispatchCore().endpoint(endpoint).map(EndpointView::leaving).orElse(false);
    }

    private void listEndpoints() {
        mContext.platform()
                .listEndpoints()
                .thenAccept(
                        endpoints -> {
                            mDispatcher.update(core -> core.setEndpoints(endpoints));
                            mEndpointsListed = true;
                        });
    }

    private void updateReadiness() {
        mInformed = mGossip.informedAgeMillis() < UNINFORMED_LIMIT_MILLIS;
        boolean isReady = mEndpointsListed && mConfiguration.current().version() > 0;
        if (isReady && mAvailability == Availability.STARTING) {
            mAvailability = Availability.SERVING;
            LOG.info("entry: {} is ready.", mSettings.name());
        }
    }

    private static void sleep(Duration duration) {
        try {
            TimeUnit.MILLISECONDS.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
