package org.vanilladoor.platform;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.EndpointPollInterval;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.gateway.Gateway;
import org.vanilladoor.gateway.GatewayMetrics;
import org.vanilladoor.gateway.LocalRetryBudgets;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.leader.LeaderTasks;
import org.vanilladoor.route.RequestSizeLimits;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.FrontExchange;
import org.vanilladoor.transport.FrontServer;

/**
 * The process that runs on each VM of the operators' platform.
 *
 * <p>Invariant: it says it is ready only while it has a configuration, knows the endpoints, takes
 * requests and is not asked to stop. Safe for use by any thread.
 */
public final class ServeProcess {
    /** How long the store holds a question for a newer configuration, in milliseconds. */
    private static final long CONFIGURATION_WAIT_MILLIS = 1_500;

    /** How long the store holds a question for changed endpoints, in milliseconds. */
    private static final long ENDPOINT_WAIT_MILLIS = 2_500;

    private static final Duration TIDY = Duration.ofMillis(200);

    /** Longest line in the head of a request, in bytes; the operators allow heads of 16 KiB. */
    private static final int HEADER_BYTES = 64 * 1024;

    /** Largest body before a configuration says otherwise. */
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

    /** Time in which callers who still sent a request are told to go elsewhere. */
    private static final long TELL_MILLIS = 300;

    /** Time left before the platform kills the process, in milliseconds. */
    private static final long STOP_MARGIN_MILLIS = 500;

    private static final long STOP_CHECK_MILLIS = 50;
    private static final int BROKEN_EXIT_CODE = 3;
    private final PlatformSettings mSettings;
    private final ControlLoop mControl;
    private final ConnectionPool mLinks;
    private final ServingState mState;
    private final Gateway mGateway;
    private final FrontServer mOperators;
    private final MetricsPage mMetricsPage;
    private final FrontServer mCallers;

    private ServeProcess(PlatformSettings settings) throws IOException {
        mSettings = settings;
        mControl = ControlLoop.start("control");
        mLinks = ConnectionPool.start(mControl);
        mState = ServingState.create();
        RandomGenerator random = new SplittableRandom();
        EndpointDirectory directory = EndpointDirectory.create();
        Placement placement = Placement.create(directory, settings.failureDomain(), random);
        MetricRegistry registry = new MetricRegistry();
        PlatformCalls calls = PlatformCalls.create(mControl, mLinks);
        ObjectClient store = ObjectClient.create(calls, settings.store());
        LeaderTasks duties =
                LeaderTasks.start(
                        mControl,
                        new LeaderTasks.Dependencies(
                                store,
                                store,
                                FleetClient.create(calls, store, settings.cloud()),
                                directory,
                                mState),
                        settings.machine(),
                        settings.usageWindowMillis());
        mGateway =
                Gateway.start(
                        mControl,
                        mLinks,
                        new OperatorWireFormat(),
                        mState,
                        placement,
                        new Gateway.Accounting(
                                LocalRetryBudgets.create(
                                        settings.retryRatio(),
                                        settings.retryExtra(),
                                        settings.retryWindowMillis()),
                                duties,
                                duties,
                                GatewayMetrics.create(registry)),
                        random);
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
                () -> EndpointPollInterval.millis(mState.vmCount()),
                random,
                EndpointFeed.create(directory, mState));
        mCallers = listen(settings.callerAddress(), mGateway::handle);
        mMetricsPage = MetricsPage.create(registry);
        mOperators = listen(settings.readinessAddress(), this::answerOperators);
        listenForMetrics(new HostPort(settings.callerAddress().host(), MetricsPage.PORT));
        mControl.scheduleWithFixedDelay(TIDY, () -> tidy(directory, placement));
    }

    /**
     * Starts the process.
     *
     * @throws IOException if an address can't be listened on
     */
    public static ServeProcess start(PlatformSettings settings) throws IOException {
        ServeProcess process = new ServeProcess(settings);
        EventLog.write(
                "process",
                "started",
                "vm",
                settings.machine(),
                "domain",
                settings.failureDomain(),
                "callers",
                process.mCallers.address());
        return process;
    }

    /** Stops without cutting a request, as far as the platform gives time; blocks until then. */
    public void stop() {
        long startedMillis = MonotonicClock.nowMillis();
        mState.markStopping();
        EventLog.write("process", "stopping", "open", mGateway.openRequests());
        long killedMillis = startedMillis + mSettings.graceMillis() - STOP_MARGIN_MILLIS;
        while (mayGoOn(startedMillis, killedMillis)) {
            try {
                Thread.sleep(STOP_CHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        EventLog.write("process", "stopped", "open", mGateway.openRequests());
        mCallers.close();
        mOperators.close();
        mLinks.close();
        mControl.close();
    }

    private boolean mayGoOn(long startedMillis, long killedMillis) {
        long now = MonotonicClock.nowMillis();
        boolean leaving = now < startedMillis + ServingState.ACCEPT_AFTER_STOP_MILLIS + TELL_MILLIS;
        return now < killedMillis && (leaving || mGateway.openRequests() > 0);
    }

    private FrontServer listen(HostPort address, Consumer<FrontExchange> arrived)
            throws IOException {
        return FrontServer.start(address, mControl, HEADER_BYTES, this::bodyBytes, arrived);
    }

    /** Metrics that can't be had are no reason not to serve. */
    private void listenForMetrics(HostPort address) {
        try {
            mOperators.alsoListen(address);
        } catch (IOException e) {
            EventLog.write("process", "metrics.unavailable", "reason", e.getMessage());
        }
    }

    private int bodyBytes() {
        return mState.configuration()
                .map(ServingConfiguration::limits)
                .map(RequestSizeLimits::bodyBytes)
                .orElse(DEFAULT_BODY_BYTES);
    }

    private void answerOperators(FrontExchange exchange) {
        if (exchange.request().getRequestUri().startsWith(MetricsPage.PATH)) {
            mMetricsPage.answer(exchange, mState, mGateway.openRequests());
            return;
        }
        int status = mState.isReady() ? HttpStatus.SC_OK : HttpStatus.SC_SERVICE_UNAVAILABLE;
        exchange.respond(new BasicHttpResponse(status), new byte[0]);
    }

    private void tidy(EndpointDirectory directory, Placement placement) {
        directory.removeMissing(MonotonicClock.nowMillis());
        placement.removeUnlisted();
        mLinks.closeIdle();
        boolean broken = !mState.isStopping() && !(mCallers.isRunning() && mLinks.isRunning());
        if (broken) {
            // A process that can't serve makes room for one that can.
            EventLog.write("process", "broken", "callers", mCallers.isRunning());
            Runtime.getRuntime().halt(BROKEN_EXIT_CODE);
        }
    }
}
