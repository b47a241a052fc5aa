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
 * One entry process: everything that runs on an entry VM.
 *
 * <p>Invariant: it takes requests only once a configuration is in force and endpoints have been
 * listed. All public methods may be called by any thread.
 */
public final class Entry implements EntryState, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Entry.class);
    private static final Duration ENDPOINT_LIST_PERIOD = Duration.ofSeconds(1);
    private static final Duration READINESS_PERIOD = Duration.ofMillis(50);
    private static final long UNINFORMED_LIMIT_MILLIS = 10_000;
    private final EntryContext mContext;
    private final EntrySettings mSettings;
    private final ControlLoop mControl;
    private final MetricRegistry mMetrics;
    private final ActiveConfiguration mConfiguration = ActiveConfiguration.create();
    private final OpenCalls mOpenCalls = OpenCalls.create();
    private final ServiceLevels mServiceLevels;
    private final Dispatcher mGateway;
    private PeerNetwork mNetwork;
    private Duties mDuties;
    private PeerServer mPeerServer;
    private HttpService mCallerService;
    private HttpService mOperatorService;
    private volatile Availability mAvailability = Availability.STARTING;
    private volatile boolean mInformed = true;
    private volatile boolean mStopping;
    private volatile boolean mEndpointsListed;

    private Entry(EntryContext context, MetricRegistry metrics) {
        mContext = context;
        mSettings = context.settings();
        mControl = context.control();
        mMetrics = metrics;
        mServiceLevels =
                ServiceLevels.create(metrics, context.counters(), System::currentTimeMillis);
        mGateway = Dispatcher.start(mControl, context.core());
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @param tls context for TLS towards callers, or null for plain HTTP
     * @throws IOException if an address can't be bound
     */
    public static Entry start(EntrySettings settings, SSLContext tls) throws IOException {
        MetricRegistry metrics = new MetricRegistry();
        Entry entry = new Entry(EntryContext.create(settings, metrics), metrics);
        entry.startPeers();
        entry.startWatches();
        entry.startServices(tls);
        LOG.info("entry: {} listens to callers on {}.", settings.name(), entry.callerAddress());
        return entry;
    }

    /** Returns where callers connect. */
    public HostPort callerAddress() {
        return mCallerService.address();
    }

    /** Returns where operators connect. */
    public HostPort operatorAddress() {
        return mOperatorService.address();
    }

    /** Returns whether this process takes requests. */
    public boolean isReady() {
        return mAvailability == Availability.SERVING;
    }

    /** Returns how many callers have a request that is not answered to its end. */
    public int busyCallers() {
        return mCallerService.busyConnections();
    }

    /** Returns whether a stop has waited for the balancer and now waits for open calls. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns how calls went against their targets in the last minutes. */
    public List<LevelRow> levels(int minutes) {
        return mServiceLevels.rowsForLastMinutes(minutes);
    }

    /** Returns how many calls this process has sent to the platform, by kind. */
    public Map<String, Long> platformCalls() {
        Map<String, Long> calls = new TreeMap<>();
        mMetrics.getCounters().forEach((name, counter) -> calls.put(name, counter.getCount()));
        return calls;
    }

    /** Returns whether an endpoint is known to be about to go. */
    public boolean isLeaving(String endpoint) {
        return mGateway.query(core -> core.endpoint(endpoint))
                .join()
                .map(EndpointView::leaving)
                .orElse(true);
    }

    /**
     * Stops gracefully: no request is cut that ends within the drain limit.
     *
     * <p>Readiness goes first, so that the balancer turns away; then open calls end, then duties
     * are handed over and counts are copied.
     */
    public void stop() {
        LOG.info("entry: {} stops.", mSettings.name());
        mAvailability = Availability.DRAINING;
        mNetwork.leave();
        pause(mSettings.balancerGrace());
        mStopping = true;
        long end = MonotonicClock.nowMillis() + mSettings.drainLimit().toMillis();
        while (busyCallers() + mOpenCalls.size() > 0 && MonotonicClock.nowMillis() < end) {
            pause(READINESS_PERIOD);
        }
        mCallerService.stop(Duration.ofSeconds(1));
        mDuties.handOver();
        close();
        LOG.info("entry: {} has stopped with {} calls open.", mSettings.name(), mOpenCalls.size());
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

    ActiveConfiguration configurationKeeper() {
        return mConfiguration;
    }

    HttpPlatform platform() {
        return mContext.platform();
    }

    Dispatcher gateway() {
        return mGateway;
    }

    List<MemberRecord> members() {
        return mNetwork.live().join();
    }

    Duties duties() {
        return mDuties;
    }

    int openCalls() {
        return mOpenCalls.size();
    }

    private void startPeers() throws IOException {
        LoadBoard loads = LoadBoard.create(this::loadReported);
        mNetwork = PeerNetwork.start(mContext, mConfiguration, loads);
        mDuties = Duties.start(mContext);
        mPeerServer =
                PeerServer.start(
                        mSettings.peerAddress(),
                        PeerHandler.create(
                                mContext, mNetwork, mConfiguration, mDuties::stopOrders));
        LoadPoller.start(mContext, loads);
    }

    private void startWatches() {
        mConfiguration.addListener(this::configurationChanged);
        ConfigurationWatcher.start(
                mControl,
                mContext.platform(),
                mConfiguration,
                mContext.membership(),
                mNetwork::heardPlatform);
        mControl.scheduleWithFixedDelay(ENDPOINT_LIST_PERIOD, this::listEndpoints);
        mControl.execute(this::listEndpoints);
        mControl.scheduleWithFixedDelay(READINESS_PERIOD, this::updateReadiness);
    }

    private void startServices(SSLContext tls) throws IOException {
        ClaimLog claims = ClaimLog.start(mControl, mContext.platform(), this::claimRetention);
        CallerContext callers =
                CallerContext.create(
                        mGateway,
                        mContext.links(),
                        mSettings.systemCredential(),
                        mOpenCalls,
                        mServiceLevels,
                        claims);
        mCallerService =
                HttpService.start(
                        "caller",
                        mSettings.callerAddress(),
                        mSettings.callerIdle(),
                        tls,
                        CallerHandler.create(this, callers, mSettings.maximumBodyBytes()));
        mOperatorService =
                HttpService.start(
                        "operator",
                        mSettings.operatorAddress(),
                        mSettings.callerIdle(),
                        null,
                        OperatorHandler.create(this));
    }

    private Duration claimRetention() {
        return Duration.ofMinutes(configuration().targets().limits().claimRetentionMinutes());
    }

    private void configurationChanged(Configuration configuration) {
        mControl.execute(() -> mContext.core().setTargets(configuration.targets()));
        mOpenCalls.abortCallsOfWithdrawnKeys(configuration.keys());
    }

    private void loadReported(String endpoint, LoadReport report, long takenMillis) {
        boolean news = report.leaving() && !isKnownToLeave(endpoint);
        long ageMillis = MonotonicClock.nowMillis() - takenMillis;
        mContext.core().recordLoad(endpoint, report, ageMillis);
        if (news) {
            mNetwork.spreadNews();
        }
        mDuties.applied(endpoint, report.appliedOrder());
    }

    private boolean isKnownToLeave(String endpoint) {
        return mContext.core().endpoint(endpoint).map(EndpointView::leaving).orElse(false);
    }

    private void listEndpoints() {
        mContext.platform()
                .listEndpoints()
                .thenAccept(
                        endpoints -> {
                            mGateway.update(core -> core.setEndpoints(endpoints));
                            mEndpointsListed = true;
                        });
    }

    private void updateReadiness() {
        mInformed = mNetwork.uninformedMillis() < UNINFORMED_LIMIT_MILLIS;
        boolean ready = mEndpointsListed && mConfiguration.current().version() > 0;
        if (ready && mAvailability == Availability.STARTING) {
            mAvailability = Availability.SERVING;
            LOG.info("entry: {} is ready.", mSettings.name());
        }
    }

    private static void pause(Duration duration) {
        try {
            TimeUnit.MILLISECONDS.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
