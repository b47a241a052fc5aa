package org.vanilladoor.exchange;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.vanilladoor.allowance.GrantReply;
import org.vanilladoor.allowance.GrantRequest;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;

/**
 * The connection of a VM to the holder of the fleet lease.
 *
 * <p>A connection on which a heartbeat has no reply for {@value #REPLY_TIMEOUT_MILLIS} ms is
 * replaced, since its other end may be gone without a word; the holder's address is then read
 * again. Invariants: at most one connection is in use, and only its messages are received. Nothing
 * is read from the store while heartbeats are answered. Confined to the control thread, except that
 * messages are decoded on the thread of the {@link FrameLoop}.
 */
final class HolderLink {
    private static final long REPLY_TIMEOUT_MILLIS = 400;

    /**
     * Time without a reply after which the holder's address is read, and between reads. Until a VM
     * knows a new holder, it has only its own share.
     */
    private static final long READ_INTERVAL_MILLIS = 500;

    /** Replies that may wait for the control thread; a holder sends one for each request. */
    private static final int MAXIMUM_PENDING = 64;

    private final ControlLoop mControl;
    private final FleetView mFleet;
    private final FleetSecret mSecret;
    private final Consumer<GrantReply> mReceiver;
    private final Runnable mOnHolderEnded;
    private final ExchangeMetrics mMetrics;
    private final AtomicInteger mPending = new AtomicInteger();
    private Optional<HostPort> mAddress = Optional.empty();
    private FrameConnection mConnection;
    private boolean mAwaitsReply;
    private long mSentMillis;
    private boolean mAnswered;

    /** When the first request without a reply was to be sent; 0 if the last one has a reply. */
    private long mSilentSinceMillis;

    private long mReadMillis = Long.MIN_VALUE / 2;

    HolderLink(
            ControlLoop control,
            FleetView fleet,
            FleetSecret secret,
            Consumer<GrantReply> receiver,
            Runnable onHolderEnded,
            ExchangeMetrics metrics) {
        mControl = control;
        mFleet = fleet;
        mSecret = secret;
        mReceiver = receiver;
        mOnHolderEnded = onHolderEnded;
        mMetrics = metrics;
    }

    /** Sends a request to the holder; without its address the request is dropped. */
    void send(FrameLoop loop, GrantRequest request) {
        long nowMillis = MonotonicClock.nowMillis();
        if (mSilentSinceMillis == 0) {
            mSilentSinceMillis = nowMillis;
        }
        Optional<HostPort> address = mFleet.holderExchange();
        if (address.isEmpty() || mSecret.value().isEmpty()) {
            return;
        }
        if (!address.equals(mAddress)) {
            drop();
            mAddress = address;
        }
        if (mConnection == null && !tryConnect(loop, address.get())) {
            return;
        }
        if (!mAwaitsReply) {
            mAwaitsReply = true;
            mSentMillis = nowMillis;
        }
        mMetrics.countSentHeartbeat();
        mConnection.send(FleetMessages.encode(new Heartbeat(mSecret.value().get(), request)));
    }

    /** Gives up a connection without replies and reads what is missing. */
    void tick() {
        long nowMillis = MonotonicClock.nowMillis();
        if (mAwaitsReply && nowMillis - mSentMillis >= REPLY_TIMEOUT_MILLIS) {
            mMetrics.countUnansweredHeartbeat();
            lose("no reply for " + REPLY_TIMEOUT_MILLIS + " ms");
        }
        boolean isDue =
                mSilentSinceMillis != 0
                        && nowMillis - mSilentSinceMillis >= READ_INTERVAL_MILLIS
                        && nowMillis - mReadMillis >= READ_INTERVAL_MILLIS;
        if (isDue) {
            mReadMillis = nowMillis;
            mFleet.readHolderExchange();
            if (mSecret.value().isEmpty() && mFleet.holderExchange().isPresent()) {
                mSecret.read(false);
            }
        }
    }

    /** Closes the connection, if there is one. */
    void drop() {
        mAnswered = false;
        mAwaitsReply = false;
        if (mConnection != null) {
            FrameConnection connection = mConnection;
            mConnection = null;
            connection.close();
        }
    }

    private boolean tryConnect(FrameLoop loop, HostPort address) {
        try {
            mConnection = loop.connect(address, new ReplyListener());
            return true;
        } catch (IOException e) {
            lose(e.toString());
            return false;
        }
    }

    private void lose(String reason) {
        if (mAnswered) {
            EventLog.write(
                    "exchange",
                    "holder.lost",
                    "address",
                    mAddress.map(HostPort::toString).orElse("-"),
                    "reason",
                    reason);
        }
        drop();
    }

    private void receive(FrameConnection connection, HeartbeatResponse response) {
        if (connection != mConnection) {
            return;
        }
        mAwaitsReply = false;
        if (response instanceof HeartbeatResponse.Granted granted) {
            if (!mAnswered) {
                EventLog.write(
                        "exchange",
                        "holder.answers",
                        "address",
                        mAddress.map(HostPort::toString).orElse("-"),
                        "term",
                        granted.reply().term());
            }
            mAnswered = true;
            mSilentSinceMillis = 0;
            mReceiver.accept(granted.reply());
        } else if (response instanceof HeartbeatResponse.Refused refused) {
            if (refused.reason() == HeartbeatResponse.Reason.WRONG_SECRET) {
                mSecret.forget();
            } else if (mAnswered && refused.reason() == HeartbeatResponse.Reason.NOT_HOLDER) {
                mOnHolderEnded.run();
            }
            lose("refused: " + refused.reason());
        }
    }

    /** Receives messages on the thread of the loop. */
    private final class ReplyListener implements FrameListener {
        @Override
        public void onMessage(FrameConnection connection, byte[] payload) {
            if (mPending.get() >= MAXIMUM_PENDING) {
                return;
            }
            try {
                HeartbeatResponse response = FleetMessages.decodeResponse(payload);
                mPending.incrementAndGet();
                mControl.execute(
                        () -> {
                            mPending.decrementAndGet();
                            receive(connection, response);
                        });
            } catch (TException | RuntimeException e) {
                EventLog.write("exchange", "message.unreadable", "reason", e.getMessage());
                connection.close();
            }
        }

        @Override
        public void onClosed(FrameConnection connection, String reason) {
            mControl.execute(
                    () -> {
                        if (connection == mConnection) {
                            lose(reason);
                        }
                    });
        }
    }
}
