package org.vanilladoor.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.vanilladoor.common.MonotonicClock;

/**
 * A connection on which each message is preceded by its length in four bytes, as with Thrift's
 * framed transport.
 *
 * <p>Invariants: at most {@value #MAXIMUM_QUEUED_BYTES} bytes wait to be written; a connection
 * whose peer does not read is closed. The buffer for a message grows with the bytes that have
 * arrived, not with the length that the peer states. {@link #send} and {@link #close} may be called
 * by any thread; everything else is confined to the thread of the {@link FrameLoop}.
 */
public final class FrameConnection {
    private static final int MAXIMUM_QUEUED_BYTES = 4 * FrameLoop.MAXIMUM_FRAME_BYTES;
    private static final int INITIAL_BUFFER_BYTES = 1_024;
    private final FrameLoop mLoop;
    private final SocketChannel mChannel;
    private final FrameListener mListener;
    private final Deque<ByteBuffer> mOutput = new ArrayDeque<>();
    private ByteBuffer mInput = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private SelectionKey mKey;
    private int mQueuedBytes;
    private long mReadMillis = MonotonicClock.nowMillis();
    private boolean mClosed;

    FrameConnection(FrameLoop loop, SocketChannel channel, FrameListener listener) {
        mLoop = loop;
        mChannel = channel;
        mListener = listener;
    }

    /** Sends a message, or closes the connection if the peer has not read earlier ones. */
    public void send(byte[] payload) {
        mLoop.execute(() -> enqueue(payload));
    }

    /** Closes the connection; the listener is notified. */
    public void close() {
        mLoop.execute(() -> close("closed by this process"));
    }

    void setKey(SelectionKey key) {
        mKey = key;
    }

    /** Returns the time at which bytes last arrived. */
    long readMillis() {
        return mReadMillis;
    }

    void finishConnect() throws IOException {
        mChannel.finishConnect();
        updateInterest();
    }

    void read() throws IOException {
        int count = mChannel.read(mInput);
        while (count > 0) {
            mReadMillis = MonotonicClock.nowMillis();
            deliverMessages();
            growIfFull();
            count = mClosed ? 0 : mChannel.read(mInput);
        }
        if (count < 0) {
            close("closed by the peer");
        }
    }

    private void deliverMessages() throws IOException {
        mInput.flip();
        while (!mClosed && mInput.remaining() >= Integer.BYTES) {
            int length = mInput.getInt(mInput.position());
            if (length < 0 || length > FrameLoop.MAXIMUM_FRAME_BYTES) {
                throw new IOException("the message states a length of " + length);
            }
            if (mInput.remaining() < Integer.BYTES + length) {
                break;
            }
            mInput.getInt();
            byte[] payload = new byte[length];
            mInput.get(payload);
            mListener.onMessage(this, payload);
        }
        mInput.compact();
    }

    private void growIfFull() {
        if (mInput.hasRemaining()) {
            return;
        }
        int maximum = Integer.BYTES + FrameLoop.MAXIMUM_FRAME_BYTES;
        ByteBuffer larger = ByteBuffer.allocate(Math.min(maximum, 2 * mInput.capacity()));
        mInput.flip();
        larger.put(mInput);
        mInput = larger;
    }

    private void enqueue(byte[] payload) {
        if (mClosed) {
            return;
        }
        int length = Integer.BYTES + payload.length;
        if (payload.length > FrameLoop.MAXIMUM_FRAME_BYTES
                || mQueuedBytes + length > MAXIMUM_QUEUED_BYTES) {
            close("more than the limit waits to be written");
            return;
        }
        ByteBuffer message = ByteBuffer.allocate(length).putInt(payload.length).put(payload);
        mOutput.add(message.flip());
        mQueuedBytes += length;
        if (mChannel.isConnected()) {
            tryWrite();
        }
    }

    private void tryWrite() {
        try {
            write();
        } catch (IOException e) {
            close(e.toString());
        }
    }

    void write() throws IOException {
        while (!mOutput.isEmpty()) {
            mQueuedBytes -= mChannel.write(mOutput.peek());
            if (mOutput.peek().hasRemaining()) {
                break;
            }
            mOutput.remove();
        }
        updateInterest();
    }

    private void updateInterest() {
        mKey.interestOps(SelectionKey.OP_READ | (mOutput.isEmpty() ? 0 : SelectionKey.OP_WRITE));
    }

    /** Closes the connection, for the loop's thread only. */
    void close(String reason) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mOutput.clear();
        mLoop.forget(this);
        try {
            mChannel.close();
        } catch (IOException e) {
            FrameLoop.LOG.debug("exchange: Closing a connection failed: {}.", e.getMessage());
        }
        mListener.onClosed(this, reason);
    }
}
