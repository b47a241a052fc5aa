package org.vanilladoor.exchange;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceAccount;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.allowance.GrantReply;
import org.vanilladoor.allowance.GrantRequest;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.gateway.AllowanceControl;
import org.vanilladoor.gateway.GatewayMetrics;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.route.ServingConfiguration;

/**
 * Keeps the teams within their allowances across all VMs: carries the messages between this VM's
 * {@link AllowanceAccount} and the lease holder's ledger, and lets requests wait for them.
 *
 * <p>Invariant: while the configuration in force has no allowance, there is no listening socket, no
 * connection, no message and no call to the store. Confined to the control thread.
 */
public final class AllowanceExchange implements AllowanceControl {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final ControlLoop mControl;
    private final ServingState mState;
    private final FleetView mFleet;
    private final ExchangeMetrics mMetrics;
    private final AllowanceAccount mAccount;
    private final AdmissionQueue mQueue;
    private final HolderServer mServer;
    private final HolderLink mLink;
    private Optional<FrameLoop> mLoop = Optional.empty();
    private ControlLoop.Timer mRequestTimer = ControlLoop.Timer.NONE;
    private boolean mFallenBack;

    private AllowanceExchange(
            ControlLoop control,
            ServingState state,
            FleetView fleet,
            ObjectStore store,
            Identity identity,
            AllowanceTolerance tolerance,
            GatewayMetrics metrics) {
        mControl = control;
        mState = state;
        mFleet = fleet;
        mMetrics = new ExchangeMetrics(metrics);
        mAccount = AllowanceAccount.create(identity.vmName(), identity.incarnation(), tolerance);
        mQueue = new AdmissionQueue(mAccount, mMetrics);
        FleetSecret secret = new FleetSecret(store);
        mServer =
                new HolderServer(
                        control,
                        fleet,
                        secret,
                        tolerance,
                        this::allowances,
                        identity.listenAddress(),
                        mMetrics);
        mLink = new HolderLink(control, fleet, secret, this::receive, this::endHolder, mMetrics);
    }

    /**
     * Starts to follow the configuration in force.
     *
     * @param state holds the configuration
     * @param fleet tells who holds the fleet lease
     * @param store keeps the fleet's secret
     * @param identity names of this process, and where it may listen
     * @param tolerance by how much a team may exceed its allowance
     * @param metrics counts messages and the teams' use
     */
    public static AllowanceExchange start(
            ControlLoop control,
            ServingState state,
            FleetView fleet,
            ObjectStore store,
            Identity identity,
            AllowanceTolerance tolerance,
            GatewayMetrics metrics) {
        AllowanceExchange exchange =
                new AllowanceExchange(control, state, fleet, store, identity, tolerance, metrics);
        control.scheduleWithFixedDelay(TICK_INTERVAL, exchange::tick);
        return exchange;
    }

    @Override
    public Wait admit(String team, Allowance allowance, double cost, Outcome outcome) {
        Wait wait = mQueue.admit(team, allowance, cost, outcome, ExpiryClock.nowMillis());
        if (mQueue.isWaiting()) {
            scheduleRequest();
        }
        return wait;
    }

    @Override
    public void credit(String team, double cost, long admittedMillis) {
        mMetrics.countCredited(team, cost);
        mAccount.credit(team, cost, admittedMillis, ExpiryClock.nowMillis());
    }

    /** Closes the listening socket and the connections, since the process ends. */
    public void close() {
        mLoop.ifPresent(FrameLoop::close);
    }

    private Map<String, Allowance> allowances() {
        return mState.configuration().map(ServingConfiguration::allowances).orElse(Map.of());
    }

    private void tick() {
        long nowMillis = ExpiryClock.nowMillis();
        mQueue.endLongWaits(nowMillis);
        if (allowances().isEmpty()) {
            stop();
            return;
        }
        if (mLoop.isEmpty()) {
            mLoop = Optional.of(FrameLoop.start("exchange"));
        }
        mAccount.setVmCount(mFleet.countedProcesses());
        mServer.tick(mLoop.get());
        if (!mFleet.isHolder()) {
            mLink.tick();
        }
        sendDueRequest();
        logFallBack(nowMillis);
        mMetrics.logTeams(nowMillis);
    }

    private void stop() {
        if (mLoop.isPresent()) {
            mRequestTimer.cancel();
            mLink.drop();
            mServer.reset();
            mLoop.get().close();
            mLoop = Optional.empty();
        }
    }

    /** Sends the next request when it is due: at once, or some milliseconds later with others. */
    private void scheduleRequest() {
        mRequestTimer.cancel();
        long millis = mAccount.millisUntilRequest(ExpiryClock.nowMillis());
        mRequestTimer = mControl.schedule(Duration.ofMillis(millis), this::sendDueRequest);
    }

    private void sendDueRequest() {
        long nowMillis = ExpiryClock.nowMillis();
        if (mLoop.isEmpty() || mAccount.millisUntilRequest(nowMillis) > 0) {
            return;
        }
        GrantRequest request = mAccount.nextRequest(nowMillis);
        Optional<GrantReply> ownReply = mServer.handle(request);
        if (ownReply.isPresent()) {
            mLink.drop();
            receive(ownReply.get());
        } else {
            mLink.send(mLoop.get(), request);
        }
    }

    private void receive(GrantReply reply) {
        long nowMillis = ExpiryClock.nowMillis();
        reply.entries().forEach(entry -> mMetrics.countAdvance(entry.team(), entry.granted()));
        mAccount.apply(reply, nowMillis);
        mQueue.decideAgain(nowMillis);
        if (mQueue.isWaiting()) {
            scheduleRequest();
        }
    }

    private void endHolder() {
        long nowMillis = ExpiryClock.nowMillis();
        mAccount.recordHolderEnded(nowMillis);
        mQueue.decideAgain(nowMillis);
    }

    private void logFallBack(long nowMillis) {
        boolean isFallenBack = mAccount.isFallenBack(nowMillis);
        if (isFallenBack != mFallenBack) {
            mFallenBack = isFallenBack;
            EventLog.write(
                    "exchange",
                    isFallenBack ? "own_share.begun" : "own_share.ended",
                    "term",
                    mAccount.term(),
                    "vms",
                    mFleet.countedProcesses());
        }
    }

    /**
     * Names of this process.
     *
     * @param vmName name of its VM
     * @param incarnation tells it from earlier processes of the VM
     * @param listenAddress where it may listen
     */
    public record Identity(String vmName, String incarnation, ListenAddress listenAddress) {}
}
