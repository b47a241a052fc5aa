package org.vanilladoor.transport;

import java.io.IOException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.vanilladoor.common.EventLog;

/**
 * Closes the connection whose handling fails with an {@link Error}.
 *
 * <p>HttpCore would end the I/O thread instead, and with it all connections. Stateless; for the I/O
 * thread.
 */
final class ErrorBarrier {
    private ErrorBarrier() {}

    static void run(IOSession session, Event event) throws IOException {
        try {
            event.handle();
        } catch (Error e) {
            session.close(CloseMode.IMMEDIATE);
            EventLog.write("connections", "handling.failed", "error", e);
        }
    }

    /** The handling of one event. */
    interface Event {
        void handle() throws IOException;
    }
}
