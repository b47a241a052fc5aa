package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Handles the events of a caller's connection; an error closes just this one.
 *
 * <p>Confined to the I/O thread.
 */
final class CallerConnectionHandler extends ServerHttp1IOEventHandler {
    private CallerConnectionHandler(CallerDuplexer duplexer) {
        super(duplexer);
    }

    static CallerConnectionHandler of(CallerDuplexer duplexer) {
        return new CallerConnectionHandler(duplexer);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        ErrorBarrier.run(session, () -> super.inputReady(session, source));
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        ErrorBarrier.run(session, () -> super.outputReady(session));
    }
}
