package org.vanilladoor.exchange;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.PortRange;

/**
 * One thread that accepts, opens and serves connections with framed messages, whatever their number
 * is.
 *
 * <p>Invariants: at most {@value #MAXIMUM_CONNECTIONS} connections are open. A connection on which
 * nothing arrives for {@value #IDLE_MILLIS} ms is closed, since its peer may be gone without a
 * word. The failure of one connection does not affect the others or the thread. The public methods
 * may be called by any thread.
 */
public final class FrameLoop implements AutoCloseable {
    /** Maximum length of a message; a heartbeat with 500 teams takes 25 KB. */
    public static final int MAXIMUM_FRAME_BYTES = 65_536;

    static final Logger LOG = LogManager.getLogger(FrameLoop.class);

    /** One connection for each VM of the largest fleet, and some that are being replaced. */
    private static final int MAXIMUM_CONNECTIONS = 512;

    /** Six times the interval of heartbeats. */
    private static final long IDLE_MILLIS = 3_000;

    /** Interval of the check for idle connections. */
    private static final long CHECK_MILLIS = 500;

    /** Pause after a connection could not be accepted, for lack of descriptors for instance. */
    private static final long ACCEPT_PAUSE_MILLIS = 500;

    private final Selector mSelector;
    private final Thread mThread;
    private final Queue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final Set<FrameConnection> mConnections = new HashSet<>();
    private long mCheckedMillis;
    private long mAcceptAfterMillis;
    private volatile boolean mClosed;

    private FrameLoop(Selector selector, String threadName) {
        mSelector = selector;
        mThread = new Thread(this::run, threadName);
        mThread.setDaemon(true);
    }

    /**
     * Starts a loop without connections.
     *
     * @param threadName name of its thread, as shown in logs and thread dumps
     */
    public static FrameLoop start(String threadName) {
        try {
            FrameLoop loop = new FrameLoop(Selector.open(), threadName);
            loop.mThread.start();
            return loop;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Listens on the first free port of a range.
     *
     * @param ports first and last port; port 0 stands for any free port
     * @param listener receives the messages of the connections that are accepted
     * @throws IOException if no port of the range is free
     */
    public HostPort listen(String host, PortRange ports, FrameListener listener)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            int port = bind(server, host, ports);
            server.configureBlocking(false);
            execute(() -> register(server, SelectionKey.OP_ACCEPT, listener));
            return new HostPort(host, port);
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    private static int bind(ServerSocketChannel server, String host, PortRange ports)
            throws IOException {
        IOException failure = new IOException("the range of ports is empty");
        for (int port = ports.first(); port <= ports.last(); port++) {
            try {
                server.bind(new InetSocketAddress(host, port));
                return ((InetSocketAddress) server.getLocalAddress()).getPort();
            } catch (IOException e) {
                failure = e;
            }
        }
        throw failure;
    }

    /** Opens a connection; messages sent before it is open are kept until then. */
    public FrameConnection connect(HostPort address, FrameListener listener) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            FrameConnection connection = prepare(channel, listener);
            execute(() -> open(channel, address, connection));
            return connection;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private FrameConnection prepare(SocketChannel channel, FrameListener listener)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        return new FrameConnection(this, channel, listener);
    }

    private void open(SocketChannel channel, HostPort address, FrameConnection connection) {
        try {
            mConnections.add(connection);
            connection.setKey(channel.register(mSelector, SelectionKey.OP_CONNECT, connection));
            if (channel.connect(new InetSocketAddress(address.host(), address.port()))) {
                connection.finishConnect();
            }
        } catch (IOException | RuntimeException e) {
            connection.close(e.toString());
        }
    }

    private void register(SelectableChannel channel, int interest, Object attachment) {
        try {
            channel.register(mSelector, interest, attachment);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs a task on the thread of this loop; after {@link #close} the task is discarded. */
    void execute(Runnable task) {
        if (mClosed) {
            return;
        }
        mTasks.add(task);
        if (Thread.currentThread() != mThread) {
            mSelector.wakeup();
        }
    }

    void forget(FrameConnection connection) {
        mConnections.remove(connection);
    }

    @Override
    public void close() {
        mClosed = true;
        mSelector.wakeup();
    }

    private void run() {
        while (!mClosed) {
            try {
                runOnce();
            } catch (IOException | RuntimeException | Error e) {
                // The process depends on this thread; an error in one message must not end it.
                LOG.error("exchange: Serving a connection failed.", e);
            }
        }
        List.copyOf(mSelector.keys()).forEach(key -> closeQuietly(key.channel()));
        closeQuietly(mSelector);
    }

    private void runOnce() throws IOException {
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            task.run();
        }
        mSelector.select(CHECK_MILLIS);
        List<SelectionKey> ready = new ArrayList<>(mSelector.selectedKeys());
        mSelector.selectedKeys().clear();
        ready.forEach(this::serve);
        long nowMillis = MonotonicClock.nowMillis();
        if (nowMillis - mCheckedMillis >= CHECK_MILLIS) {
            mCheckedMillis = nowMillis;
            closeIdle(nowMillis);
        }
    }

    private void serve(SelectionKey key) {
        if (key.isValid() && key.attachment() instanceof FrameConnection connection) {
            serveConnection(key, connection);
        } else if (key.isValid() && key.isAcceptable()) {
            accept(key);
        }
    }

    private static void serveConnection(SelectionKey key, FrameConnection connection) {
        try {
            if (key.isConnectable()) {
                connection.finishConnect();
                connection.write();
            }
            if (key.isValid() && key.isReadable()) {
                connection.read();
            }
            if (key.isValid() && key.isWritable()) {
                connection.write();
            }
        } catch (IOException | RuntimeException e) {
            connection.close(e.toString());
        }
    }

    private void accept(SelectionKey key) {
        if (mConnections.size() >= MAXIMUM_CONNECTIONS) {
            pauseAccepting(key, "there are " + MAXIMUM_CONNECTIONS + " connections");
            return;
        }
        try {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            if (channel != null) {
                addAccepted(channel, (FrameListener) key.attachment());
            }
        } catch (IOException e) {
            pauseAccepting(key, e.toString());
        }
    }

    private void addAccepted(SocketChannel channel, FrameListener listener) {
        try {
            FrameConnection connection = prepare(channel, listener);
            connection.setKey(channel.register(mSelector, SelectionKey.OP_READ, connection));
            mConnections.add(connection);
        } catch (IOException e) {
            closeQuietly(channel);
        }
    }

    /** Stops accepting for a while, since the listening socket stays ready after a failure. */
    private void pauseAccepting(SelectionKey key, String reason) {
        EventLog.write("exchange", "accept.paused", "reason", reason);
        key.interestOps(0);
        mAcceptAfterMillis = MonotonicClock.nowMillis() + ACCEPT_PAUSE_MILLIS;
    }

    private void closeIdle(long nowMillis) {
        if (nowMillis >= mAcceptAfterMillis) {
            mSelector.keys().stream()
                    .filter(key -> key.isValid() && key.channel() instanceof ServerSocketChannel)
                    .forEach(key -> key.interestOps(SelectionKey.OP_ACCEPT));
        }
        List.copyOf(mConnections).stream()
                .filter(connection -> nowMillis - connection.readMillis() > IDLE_MILLIS)
                .forEach(connection -> connection.close("idle for " + IDLE_MILLIS + " ms"));
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            LOG.debug("exchange: Closing a resource failed: {}.", e.getMessage());
        }
    }
}
