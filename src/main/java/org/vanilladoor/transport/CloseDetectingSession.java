package org.vanilladoor.transport;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.vanilladoor.common.CallerActivity;
import org.vanilladoor.common.MonotonicClock;

/**
 * Decorates the I/O session of a caller and reports immediately when the caller closes its side.
 *
 * <p>HttpCore treats such a close as the end of further requests and still serves the open one.
 * Invariant: the close is reported at most once for each exchange. As safe for use by any thread as
 * the decorated session.
 */
final class CloseDetectingSession implements IOSession {
    private final IOSession mSession;
    private final CallerActivity mActivity = CallerActivity.openedAt(MonotonicClock.nowMillis());
    private volatile Runnable mOnCallerClosed = () -> {};

    private CloseDetectingSession(IOSession session) {
        mSession = session;
    }

    static CloseDetectingSession of(IOSession session) {
        return new CloseDetectingSession(session);
    }

    /** Returns what the connection has done. */
    CallerActivity activity() {
        return mActivity;
    }

    /** Sets the action to run when the caller closes its side; replaces the previous action. */
    void onCallerClosed(Runnable action) {
        mOnCallerClosed = action;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int count = mSession.read(target);
        if (count < 0) {
            Runnable action = mOnCallerClosed;
            mOnCallerClosed = () -> {};
            action.run();
        }
        return count;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        int count = mSession.write(source);
        mActivity.recordWrite(count, !source.hasRemaining(), MonotonicClock.nowMillis());
        return count;
    }

    @Override
    public boolean isOpen() {
        return mSession.isOpen();
    }

    @Override
    public void close() {
        mSession.close();
    }

    @Override
    public void close(CloseMode mode) {
        mSession.close(mode);
    }

    @Override
    public String getId() {
        return mSession.getId();
    }

    @Override
    public IOEventHandler getHandler() {
        return mSession.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        mSession.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return mSession.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        mSession.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return mSession.hasCommands();
    }

    @Override
    public Command poll() {
        return mSession.poll();
    }

    @Override
    public ByteChannel channel() {
        return this;
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return mSession.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return mSession.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return mSession.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        mSession.setEventMask(mask);
    }

    @Override
    public void setEvent(int event) {
        mSession.setEvent(event);
    }

    @Override
    public void clearEvent(int event) {
        mSession.clearEvent(event);
    }

    @Override
    public Status getStatus() {
        return mSession.getStatus();
    }

    @Override
    public Timeout getSocketTimeout() {
        return mSession.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        mSession.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return mSession.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return mSession.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return mSession.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        mSession.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        mSession.updateWriteTime();
    }
}
