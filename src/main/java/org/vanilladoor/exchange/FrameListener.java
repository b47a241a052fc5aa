package org.vanilladoor.exchange;

/** Receives the messages of connections; called on the thread of the {@link FrameLoop}. */
public interface FrameListener {
    /** Called with each whole message. */
    void onMessage(FrameConnection connection, byte[] payload);

    /** Called once when the connection has ended or could not be opened. */
    void onClosed(FrameConnection connection, String reason);
}
