package org.vanilladoor.platform;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.DescriptorLimits;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.exchange.AllowanceExchange;
import org.vanilladoor.exchange.ListenAddress;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.EndpointPollInterval;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.fleet.RequestLimits;
import org.vanilladoor.gateway.Gateway;
import org.vanilladoor.gateway.GatewayMetrics;
import org.vanilladoor.gateway.LocalRetryBudgets;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.gateway.StreamOrigins;
import org.vanilladoor.leader.LeaderTasks;
import org.vanilladoor.lease.LeaseTiming;
import org.vanilladoor.quarantine.PromptGuard;
import org.vanilladoor.quarantine.PromptQuarantine;
import org.vanilladoor.route.RequestSizeLimits;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.stream.StoredStreamOrigins;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.FrontExchange;
import org.vanilladoor.transport.FrontServer;

/**
 * The process that runs on each VM of the operators' platform.
 *
 * <p>Invariants: it reports that it is ready only while it has a configuration and a list of
 * endpoints, accepts callers and is not stopping. It accepts callers only once it has these, or has
 * waited {@value #MAXIMUM_START_WAIT_MILLIS} ms for them. Safe for use by any thread.
 */
public final class ServeProcess {
    /** Maximum time for which the store waits for a newer configuration before it responds. */
    private static final long CONFIGURATION_WAIT_MILLIS = 2_500;

    /**
     * Maximum time for which the store waits for changed endpoints before it responds; shorter, by
     * the interval between polls, than that for a newer configuration.
     */
    private static final long ENDPOINT_WAIT_MILLIS = 2_000;

    /** Interval of {@link #maintain}. */
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(200);

    /**
     * Maximum length of a line in a request's head; larger than the 16 KiB that the operators allow
     * for the whole head.
     */
    private static final int MAXIMUM_HEADER_LINE_BYTES = 64 * 1024;

    /** Maximum size of a body until a configuration states one. */
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

    /**
     * Time during which requests that still arrive are refused, so that their callers turn to
     * another VM; begins when the process no longer accepts requests.
     */
    private static final long REFUSE_AFTER_STOP_MILLIS = 300;

    /** Time by which the process stops earlier than the platform would kill it. */
    private static final long STOP_MARGIN_MILLIS = 500;

    /** Part of the margin in which the last responses are written. */
    private static final long LAST_RESPONSES_MILLIS = 200;

    /** Interval at which a stopping process checks whether requests are still open. */
    private static final long STOP_CHECK_INTERVAL_MILLIS = 50;

    /** Delay of the control thread that is logged. */
    private static final long MAXIMUM_DELAY_MILLIS = 250;

    /**
     * Longest time for which the start waits for the configuration and the endpoints. Requests that
     * are refused meanwhile take processor time from the calls that fetch them: with a quarter of a
     * core, the start then took a second longer.
     */
    private static final long MAXIMUM_START_WAIT_MILLIS = 1_000;

    private static final int BROKEN_EXIT_CODE = 3;
    private final PlatformSettings mSettings;
    private final ControlLoop mControl;
    private final MemoryBudget mMemory;
    private final DescriptorLimits mDescriptors;
    private final ConnectionPool mConnections;
    private final ServingState mState;
    private final Gateway mGateway;
    private final FrontServer mOperatorServer;
    private final MetricsPage mMetricsPage;
    private final GatewayMetrics mMetrics;
    private final AllowanceExchange mAllowances;

    /** Empty until the process accepts callers. */
    private volatile Optional<FrontServer> mCallerServer = Optional.empty();

    /** Time at which {@link #maintain} is due; for the control thread only. */
    private long mNextMaintenanceMillis = Long.MAX_VALUE / 2;

    private ServeProcess(PlatformSettings settings) throws IOException {
        mSettings = settings;
        mControl = ControlLoop.start("control");
        MetricRegistry registry = new MetricRegistry();
        mMetrics = GatewayMetrics.create(registry);
        mMemory = MemoryBudget.ofHeap();
        mDescriptors = DescriptorLimits.of(settings.maximumDescriptors());
        mConnections = startConnections();
        mState = ServingState.create();
        RandomGenerator random = new SplittableRandom();
        EndpointDirectory directory = EndpointDirectory.create();
        RequestLimits limits = RequestLimits.create(settings.vmName(), mState::vmCount);
        Placement placement = Placement.create(directory, settings.failureDomain(), limits, random);
        PlatformCalls calls = PlatformCalls.create(mControl, mConnections);
        ObjectClient store = ObjectClient.create(calls, settings.storeAddress());
        EndpointPollInterval pollInterval =
                EndpointPollInterval.create(settings.drainNoticeMillis(), mState::vmCount);
        LeaderTasks leaderTasks =
                startLeaderTasks(
                        settings,
                        new LeaderTasks.Dependencies(
                                store,
                                store,
                                FleetClient.create(calls, store, settings.cloudAddress()),
                                directory,
                                mState,
                                pollInterval,
                                limits::isLimited));
        String incarnation = incarnationOf(settings.vmName());
        mAllowances = startAllowances(settings, store, leaderTasks, incarnation);
        StreamOrigins streamOrigins = startStreamOrigins(store, directory, incarnation, random);
        PromptQuarantine quarantine = PromptQuarantine.create();
        EndpointNews news =
                EndpointNews.create(store, settings.vmName(), incarnation, quarantine, limits);
        mGateway =
                Gateway.start(
                        mControl,
                        mConnections,
                        new OperatorWireFormat(),
                        mState,
                        new Gateway.Dispatch(
                                placement,
                                PromptGuard.create(quarantine, news.crashReports(), incarnation),
                                streamOrigins),
                        new Gateway.Accounting(
                                retryBudgets(settings),
                                mAllowances,
                                leaderTasks,
                                leaderTasks,
                                mMemory,
                                mMetrics),
                        random);
        startFeeds(store, directory, pollInterval, news, random);
        mMetricsPage = MetricsPage.create(registry, mMemory);
        mOperatorServer = startOperatorServer();
        tryListenForMetrics(new HostPort(settings.callerAddress().host(), MetricsPage.PORT));
        mControl.scheduleWithFixedDelay(
                MAINTENANCE_INTERVAL, () -> maintain(directory, placement, news));
    }

    private LeaderTasks startLeaderTasks(
            PlatformSettings settings, LeaderTasks.Dependencies dependencies) {
        return LeaderTasks.start(
                mControl,
                dependencies,
                settings.vmName(),
                settings.usageWindowMillis(),
                LeaseTiming.standard().withMinimumTurn(settings.leaseTurnMillis()));
    }

    private AllowanceExchange startAllowances(
            PlatformSettings settings,
            ObjectClient store,
            LeaderTasks leaderTasks,
            String incarnation) {
        return AllowanceExchange.start(
                mControl,
                mState,
                leaderTasks,
                store,
                new AllowanceExchange.Identity(
                        settings.vmName(),
                        incarnation,
                        new ListenAddress(
                                settings.callerAddress().host(), settings.exchangePorts())),
                settings.allowanceTolerance(),
                mMetrics);
    }

    private StreamOrigins startStreamOrigins(
            ObjectClient store,
            EndpointDirectory directory,
            String incarnation,
            RandomGenerator random) {
        return StoredStreamOrigins.start(
                mControl,
                store,
                store,
                new StoredStreamOrigins.Fleet(
                        directory::versionsByService, mState::vmCount, incarnation),
                random);
    }

    private ConnectionPool startConnections() {
        return ConnectionPool.start(
                mDescriptors.ownConnections(), mControl, mMemory, mMetrics::countAnomaly);
    }

    private FrontServer startCallerServer() throws IOException {
        return startServer(
                mSettings.callerAddress(), mDescriptors.callerConnections(), mGateway::handle);
    }

    private FrontServer startOperatorServer() throws IOException {
        return startServer(
                mSettings.readinessAddress(),
                DescriptorLimits.OPERATOR_CONNECTIONS,
                this::respondToOperator);
    }

    private static LocalRetryBudgets retryBudgets(PlatformSettings settings) {
        return LocalRetryBudgets.create(
                settings.retryRatio(),
                settings.additionalRetries(),
                settings.retryWindowMillis(),
                MonotonicClock.nowMillis());
    }

    private static String incarnationOf(String vmName) {
        return vmName + "." + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    }

    /** Starts to follow the configuration and the endpoints in the store. */
    private void startFeeds(
            ObjectClient store,
            EndpointDirectory directory,
            EndpointPollInterval pollInterval,
            EndpointNews news,
            RandomGenerator random) {
        StoreFeed.start(
                mControl,
                store,
                ConfigurationFeed.KIND,
                CONFIGURATION_WAIT_MILLIS,
                () -> 0,
                random,
                ConfigurationFeed.create(mState));
        StoreFeed.start(
                mControl,
                store,
                EndpointFeed.KIND,
                ENDPOINT_WAIT_MILLIS,
                pollInterval::millis,
                random,
                EndpointFeed.create(directory, mState, news.marks(), news));
    }

    /**
     * Starts the process. Blocks until it accepts callers.
     *
     * @throws IOException if an address can't be listened on
     */
    public static ServeProcess start(PlatformSettings settings) throws IOException {
        ServeProcess process = new ServeProcess(settings);
        process.awaitInitialState();
        FrontServer callerServer = process.startCallerServer();
        process.mCallerServer = Optional.of(callerServer);
        EventLog.write(
                "process",
                "started",
                "vm",
                settings.vmName(),
                "domain",
                settings.failureDomain(),
                "callers",
                callerServer.address());
        return process;
    }

    private void awaitInitialState() {
        try {
            mState.whenInitialized().get(MAXIMUM_START_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            EventLog.write("process", "start.incomplete", "waited", MAXIMUM_START_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the process. Blocks until all open requests have ended, or until shortly before the
     * platform kills the process.
     */
    public void stop() {
        long startedMillis = MonotonicClock.nowMillis();
        mState.markStopping();
        EventLog.write("process", "stopping", "open", mGateway.openRequests());
        long deadlineMillis = startedMillis + mSettings.graceMillis() - STOP_MARGIN_MILLIS;
        while (shouldContinueServing(startedMillis, deadlineMillis)) {
            try {
                Thread.sleep(STOP_CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        // Callers get an answer, which a connection that is just closed does not give.
        mControl.execute(mGateway::endOpenRequests);
        mControl.execute(mAllowances::close);
        long closeMillis = deadlineMillis + LAST_RESPONSES_MILLIS;
        mCallerServer.ifPresent(
                server ->
                        server.stop(
                                Duration.ofMillis(
                                        Math.max(0, closeMillis - MonotonicClock.nowMillis()))));
        EventLog.write("process", "stopped", "open", mGateway.openRequests());
        mOperatorServer.close();
        mConnections.close();
        mControl.close();
    }

    private boolean shouldContinueServing(long startedMillis, long deadlineMillis) {
        long nowMillis = MonotonicClock.nowMillis();
        boolean isAcceptingOrRefusing =
                nowMillis
                        < startedMillis
                                + ServingState.ACCEPT_AFTER_STOP_MILLIS
                                + REFUSE_AFTER_STOP_MILLIS;
        return nowMillis < deadlineMillis && (isAcceptingOrRefusing || mGateway.openRequests() > 0);
    }

    private FrontServer startServer(
            HostPort address, int maximumConnections, Consumer<FrontExchange> receiver)
            throws IOException {
        return FrontServer.start(
                address,
                maximumConnections,
                mControl,
                mMemory,
                MAXIMUM_HEADER_LINE_BYTES,
                this::maximumBodyBytes,
                receiver);
    }

    /** Listens for metrics requests; if that fails, the process serves without metrics. */
    private void tryListenForMetrics(HostPort address) {
        try {
            mOperatorServer.alsoListen(address);
        } catch (IOException e) {
            EventLog.write("process", "metrics.unavailable", "reason", e.getMessage());
        }
    }

    private int maximumBodyBytes() {
        return mState.configuration()
                .map(ServingConfiguration::limits)
                .map(RequestSizeLimits::bodyBytes)
                .orElse(DEFAULT_MAXIMUM_BODY_BYTES);
    }

    private void respondToOperator(FrontExchange exchange) {
        if (exchange.request().getRequestUri().startsWith(MetricsPage.PATH)) {
            mMetricsPage.respond(exchange, mState, mGateway.openRequests());
            return;
        }
        int status =
                mState.isReady() && mCallerServer.isPresent()
                        ? HttpStatus.SC_OK
                        : HttpStatus.SC_SERVICE_UNAVAILABLE;
        exchange.respond(new BasicHttpResponse(status), new byte[0]);
    }

    /** Records how late the control thread is; a paused process is as late as one that is busy. */
    private void recordDelay() {
        long nowMillis = MonotonicClock.nowMillis();
        long delayMillis = Math.max(0, nowMillis - mNextMaintenanceMillis);
        mNextMaintenanceMillis = nowMillis + MAINTENANCE_INTERVAL.toMillis();
        mMetrics.recordDuration("control.delay_millis", delayMillis);
        if (delayMillis > MAXIMUM_DELAY_MILLIS) {
            EventLog.write("process", "delayed", "millis", delayMillis);
        }
    }

    private void maintain(EndpointDirectory directory, Placement placement, EndpointNews news) {
        recordDelay();
        news.tick(MonotonicClock.nowMillis());
        directory.removeMissing(MonotonicClock.nowMillis());
        placement.removeUnlisted();
        mConnections.closeIdle();
        mCallerServer.ifPresent(FrontServer::closeUnreadIfMemoryIsShort);
        boolean acceptsCallers = mCallerServer.map(FrontServer::isRunning).orElse(true);
        boolean isRunning =
                acceptsCallers && mOperatorServer.isRunning() && mConnections.isRunning();
        if (!mState.isStopping() && !isRunning) {
            // Lets the platform start a new process, since this one can no longer serve.
            EventLog.write("process", "broken", "callers", acceptsCallers);
            Runtime.getRuntime().halt(BROKEN_EXIT_CODE);
        }
    }
}
