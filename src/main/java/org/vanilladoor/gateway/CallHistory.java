package org.vanilladoor.gateway;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.transport.ConnectionUse;

/**
 * Remembers which addresses the latest calls went to, by the identifier of their request.
 *
 * <p>The calls of one request share its identifier, and a caller may use an identifier again. An
 * endpoint may repeat the response to such a call on the connection that carried it, so that a
 * later call with the same identifier must not use that connection.
 *
 * <p>Invariants: of the latest {@value #MAXIMUM_CALLS} calls, no two with the same identifier and
 * address share a connection; older calls are forgotten. Two different calls may be taken for the
 * same one, which costs a connection. Confined to the control thread.
 */
final class CallHistory {
    private static final int MAXIMUM_CALLS = 16_384;

    /** Keys of the calls, oldest first. */
    private final Set<Long> mCalls = new LinkedHashSet<>();

    private CallHistory() {}

    /** Returns a history without calls. */
    static CallHistory create() {
        return new CallHistory();
    }

    /** Records a call that is about to be sent, and returns which connections may carry it. */
    ConnectionUse record(String identifier, HostPort address) {
        long key = (long) identifier.hashCode() << Integer.SIZE ^ address.hashCode();
        boolean isRepeated = mCalls.remove(key);
        mCalls.add(key);
        if (mCalls.size() > MAXIMUM_CALLS) {
            Iterator<Long> oldest = mCalls.iterator();
            oldest.next();
            oldest.remove();
        }
        return isRepeated ? ConnectionUse.NEW : ConnectionUse.ANY;
    }
}
