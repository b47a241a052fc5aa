package org.vanilladoor.exchange;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceLedger;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.allowance.GrantReply;
import org.vanilladoor.allowance.GrantRequest;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;

/**
 * Answers the heartbeats of all VMs while this process holds the fleet lease.
 *
 * <p>Invariants: a request is granted only while the lease is held, and by the ledger of its term,
 * which is empty at the beginning of the term. At most {@value #MAXIMUM_PENDING} messages wait for
 * the control thread; more are dropped, and their senders ask again. Confined to the control
 * thread, except that messages are decoded on the thread of the {@link FrameLoop}.
 */
final class HolderServer {
    private static final int MAXIMUM_PENDING = 1_024;

    /** Taken for the number of VMs until they have been counted: nearly nothing is granted. */
    private static final int UNKNOWN_VMS = 1_000_000;

    /** Pause after no port could be listened on, or the secret could not be read. */
    private static final long RETRY_MILLIS = 1_000;

    private final ControlLoop mControl;
    private final FleetView mFleet;
    private final FleetSecret mSecret;
    private final AllowanceTolerance mTolerance;
    private final Supplier<Map<String, Allowance>> mAllowances;
    private final ListenAddress mListenAddress;
    private final ExchangeMetrics mMetrics;
    private final AtomicInteger mPending = new AtomicInteger();
    private Optional<HostPort> mAddress = Optional.empty();
    private long mTriedMillis = Long.MIN_VALUE / 2;
    private AllowanceLedger mLedger;
    private long mLedgerTerm = Long.MIN_VALUE;

    HolderServer(
            ControlLoop control,
            FleetView fleet,
            FleetSecret secret,
            AllowanceTolerance tolerance,
            Supplier<Map<String, Allowance>> allowances,
            ListenAddress listenAddress,
            ExchangeMetrics metrics) {
        mControl = control;
        mFleet = fleet;
        mSecret = secret;
        mTolerance = tolerance;
        mAllowances = allowances;
        mListenAddress = listenAddress;
        mMetrics = metrics;
    }

    /**
     * Starts to listen as soon as this process holds the lease, and publishes the address.
     *
     * @param loop serves the connections
     */
    void tick(FrameLoop loop) {
        if (!mFleet.isHolder()) {
            return;
        }
        long nowMillis = MonotonicClock.nowMillis();
        boolean isIncomplete = mAddress.isEmpty() || mSecret.value().isEmpty();
        if (isIncomplete && nowMillis - mTriedMillis >= RETRY_MILLIS) {
            mTriedMillis = nowMillis;
            listen(loop);
            mSecret.read(true);
        }
        if (mSecret.value().isPresent()) {
            mFleet.publishExchange(mAddress);
        }
    }

    /** Forgets the address and the ledger, since the loop has been closed. */
    void reset() {
        mAddress = Optional.empty();
        mLedgerTerm = Long.MIN_VALUE;
        mFleet.publishExchange(Optional.empty());
    }

    private void listen(FrameLoop loop) {
        if (mAddress.isPresent()) {
            return;
        }
        try {
            HostPort address =
                    loop.listen(
                            mListenAddress.host(), mListenAddress.ports(), new RequestListener());
            mAddress = Optional.of(address);
            EventLog.write("exchange", "server.listening", "address", address);
        } catch (IOException e) {
            EventLog.write("exchange", "server.unavailable", "reason", e.getMessage());
        }
    }

    /** Handles a request of this VM itself; empty if this process does not hold the lease. */
    Optional<GrantReply> handle(GrantRequest request) {
        if (!mFleet.isHolder()) {
            return Optional.empty();
        }
        long term = mFleet.term();
        if (mLedger == null || term != mLedgerTerm) {
            mLedger = AllowanceLedger.create(mTolerance, term);
            mLedgerTerm = term;
            EventLog.write("exchange", "ledger.begun", "term", term);
        }
        return Optional.of(
                mLedger.handle(
                        request,
                        mAllowances.get(),
                        mFleet.countedProcesses() > 0 ? mFleet.countedProcesses() : UNKNOWN_VMS,
                        ExpiryClock.nowMillis()));
    }

    private HeartbeatResponse handle(Heartbeat heartbeat) {
        long sequence = heartbeat.request().sequence();
        if (!mSecret.matches(heartbeat.secret())) {
            mMetrics.countRefusedMessage();
            EventLog.write(
                    "exchange",
                    "message.refused",
                    "vm",
                    heartbeat.request().vm(),
                    "reason",
                    HeartbeatResponse.Reason.WRONG_SECRET);
            return new HeartbeatResponse.Refused(HeartbeatResponse.Reason.WRONG_SECRET, sequence);
        }
        mMetrics.countHandledHeartbeat();
        return handle(heartbeat.request())
                .<HeartbeatResponse>map(HeartbeatResponse.Granted::new)
                .orElseGet(
                        () ->
                                new HeartbeatResponse.Refused(
                                        HeartbeatResponse.Reason.NOT_HOLDER, sequence));
    }

    /** Receives messages on the thread of the loop. */
    private final class RequestListener implements FrameListener {
        @Override
        public void onMessage(FrameConnection connection, byte[] payload) {
            if (mPending.get() >= MAXIMUM_PENDING) {
                return;
            }
            Heartbeat heartbeat;
            try {
                heartbeat = FleetMessages.decodeHeartbeat(payload);
            } catch (TException | RuntimeException e) {
                EventLog.write("exchange", "message.unreadable", "reason", e.getMessage());
                connection.close();
                return;
            }
            mPending.incrementAndGet();
            mControl.execute(
                    () -> {
                        mPending.decrementAndGet();
                        connection.send(FleetMessages.encode(handle(heartbeat)));
                    });
        }

        @Override
        public void onClosed(FrameConnection connection, String reason) {
            FrameLoop.LOG.debug("exchange: A VM's connection has ended: {}.", reason);
        }
    }
}
