package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Handles the events of an outgoing connection; an error closes just this one.
 *
 * <p>Confined to the I/O thread.
 */
final class CallConnectionHandler extends ClientHttp1IOEventHandler {
    private CallConnectionHandler(OutgoingDuplexer duplexer) {
        super(duplexer);
    }

    static CallConnectionHandler of(OutgoingDuplexer duplexer) {
        return new CallConnectionHandler(duplexer);
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
