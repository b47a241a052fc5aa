package org.vanilladoor.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.common.HostPort;

/**
 * Many callers' connections that send what a test specifies and never read.
 *
 * <p>A connection that is refused or closed is not opened again, so that the number of connections
 * and bytes is bounded. Confined to one thread.
 */
public final class CallerCrowd implements AutoCloseable {
    /** Small, so that unread responses soon stay with the sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    private static final long PAUSE_NANOS = 1_000_000;
    private final HostPort mAddress;
    private final List<Connection> mConnections = new ArrayList<>();

    private CallerCrowd(HostPort address) {
        mAddress = address;
    }

    /** Returns a crowd without connections. */
    public static CallerCrowd at(HostPort address) {
        return new CallerCrowd(address);
    }

    /** Begins to open connections, without waiting for them. */
    public void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            mConnections.add(new Connection(mConnections.size()));
        }
    }

    /** Closes every second connection, whether it has been established or not. */
    public void leaveByHalf() {
        for (int i = 0; i < mConnections.size(); i += 2) {
            mConnections.get(i).close();
        }
    }

    /**
     * Sends the parts on each connection that is open, one after the other, as far as the other
     * side reads them.
     *
     * @param partsPerConnection number of parts, such as requests
     * @param limit time after which no more is sent
     */
    public void send(Parts parts, int partsPerConnection, Duration limit) {
        long endNanos = System.nanoTime() + limit.toNanos();
        boolean unfinished = true;
        while (unfinished && System.nanoTime() < endNanos) {
            unfinished = false;
            boolean progressed = false;
            for (Connection connection : mConnections) {
                progressed |= connection.advance(parts, partsPerConnection);
                unfinished |= connection.isUnfinished(partsPerConnection);
            }
            if (!progressed) {
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }

    @Override
    public void close() {
        mConnections.forEach(Connection::close);
    }

    /** What the connections send. */
    @FunctionalInterface
    public interface Parts {
        /** Returns a part in ASCII, such as a request. */
        String text(int connection, int number);
    }

    /** One connection. */
    private final class Connection {
        private final int mNumber;
        private final SocketChannel mChannel;
        private ByteBuffer mCurrent = ByteBuffer.allocate(0);
        private int mStarted;
        private boolean mClosed;

        Connection(int number) throws IOException {
            mNumber = number;
            mChannel = SocketChannel.open();
            mChannel.configureBlocking(false);
            mChannel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            try {
                mChannel.connect(mAddress.toSocketAddress());
            } catch (IOException e) {
                close();
            }
        }

        boolean isUnfinished(int partCount) {
            return !mClosed && (mStarted < partCount || mCurrent.hasRemaining());
        }

        /** Writes what the connection takes at once, and returns whether that is anything. */
        boolean advance(Parts parts, int partCount) {
            if (!isUnfinished(partCount)) {
                return false;
            }
            try {
                if (!mChannel.finishConnect()) {
                    return false;
                }
                if (!mCurrent.hasRemaining()) {
                    String text = parts.text(mNumber, mStarted++);
                    mCurrent = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
                }
                return mChannel.write(mCurrent) > 0;
            } catch (IOException e) {
                close();
                return false;
            }
        }

        void close() {
            mClosed = true;
            mCurrent = ByteBuffer.allocate(0);
            try {
                mChannel.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
