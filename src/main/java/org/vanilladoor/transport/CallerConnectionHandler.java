package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Handles the events of a caller's connection; an error closes just this one.
 *
 * <p>Confined to the I/O thread.
 */
final class CallerConnectionHandler extends ServerHttp1IOEventHandler {
    private final RequestGate mGate;

    private CallerConnectionHandler(CallerDuplexer duplexer, RequestGate gate) {
        super(duplexer);
        mGate = gate;
    }

    static CallerConnectionHandler of(CallerDuplexer duplexer, RequestGate gate) {
        return new CallerConnectionHandler(duplexer, gate);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        ErrorBarrier.run(session, () -> read(session, source));
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        ErrorBarrier.run(
                session,
                () -> {
                    super.outputReady(session);
                    if (session.isOpen() && mGate.takeReleasedInput()) {
                        session.setEvent(SelectionKey.OP_READ);
                        read(session, null);
                    }
                });
    }

    @Override
    public void disconnected(IOSession session) {
        mGate.release();
        super.disconnected(session);
    }

    private void read(IOSession session, ByteBuffer source) throws IOException {
        if (!mGate.holdsInput()) {
            super.inputReady(session, source);
        }
        if (mGate.holdsInput()) {
            // What else the caller sends stays in the system's buffers.
            session.clearEvent(SelectionKey.OP_READ);
        }
    }
}
