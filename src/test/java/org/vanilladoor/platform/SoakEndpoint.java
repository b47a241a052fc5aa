package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.stream.IntStream;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * An endpoint of a soak behind a link; it is replaced by others at the same address.
 *
 * <p>Belongs to the soak's thread, but for the script, which runs on the endpoint's.
 */
final class SoakEndpoint implements AutoCloseable {
    private static final String SERVICE = "app";
    private static final String KIND = "servers";
    private final SoakPlatform mPlatform;
    private final SoakLedger mLedger;
    private final FaultyLink mLink;
    private final int mPlace;
    private int mStarts;
    private volatile String mName;
    private volatile ScriptedEndpoint mServer;

    private SoakEndpoint(SoakPlatform platform, SoakLedger ledger, int place) throws IOException {
        mPlatform = platform;
        mLedger = ledger;
        mPlace = place;
        mLink = FaultyLink.start(() -> mServer.address());
    }

    static SoakEndpoint start(SoakPlatform platform, SoakLedger ledger, int place)
            throws IOException {
        SoakEndpoint endpoint = new SoakEndpoint(platform, ledger, place);
        endpoint.startAnew();
        return endpoint;
    }

    static String answer(String attempt) {
        return "done " + attempt;
    }

    static String events(String attempt) {
        return String.join("", eachEvent(attempt));
    }

    FaultyLink link() {
        return mLink;
    }

    HostPort address() {
        return mLink.address();
    }

    /** Starts under a new name at the same address and registers. */
    void startAnew() throws IOException {
        String name = "i-" + mPlace + "-" + mStarts++;
        mServer = ScriptedEndpoint.start(received -> serve(name, received));
        mName = name;
        register("ready");
    }

    /** Says that it leaves; it goes on serving. */
    void drain() {
        register("draining");
    }

    /** Ends without a word; its entry stays. */
    void crash() throws IOException {
        mServer.close();
    }

    /** The entry of the one that ended goes. */
    void forget() {
        mPlatform.remove(KIND, mName);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mLink.close();
    }

    private void register(String state) {
        ObjectNode spec = Json.newObject();
        spec.put("service", SERVICE);
        spec.put("addr", address().toString());
        spec.put("zone", "a");
        spec.put("slots", 50);
        spec.put("state", state);
        spec.put("born", 1_000 + mStarts);
        mPlatform.put(KIND, mName, spec);
    }

    private Answer serve(String name, Received received) {
        if (!received.header("vanilladoor-expect-instance").equals(name)) {
            return ScriptedEndpoint.response(received, 421, "Vanilladoor-Not-Run: 1\r\n", "");
        }
        String attempt = received.header("vanilladoor-attempt-id");
        // One in fifty is full, one in fifty is reset after it has run, one in a hundred hangs.
        int chance = Math.floorMod(attempt.hashCode() * 31 + mPlace, 100);
        if (chance < 2) {
            return ScriptedEndpoint.response(received, 503, "Vanilladoor-Not-Run: 1\r\n", "");
        }
        mLedger.ran(attempt, name, received.header("vanilladoor-tenant"));
        if (chance < 4) {
            return new Answer("HTTP/1.1 200 O", End.RESET);
        }
        if (chance < 5) {
            return new Answer("", End.HANG);
        }
        if (received.head().startsWith("POST " + SoakRoute.FLOW.prefix())) {
            return ScriptedEndpoint.streamResponse(received, End.KEEP, eachEvent(attempt));
        }
        return ScriptedEndpoint.response(received, 200, "", answer(attempt));
    }

    private static String[] eachEvent(String attempt) {
        return IntStream.rangeClosed(1, SoakRoute.EVENTS)
                .mapToObj(number -> "id: " + number + "\ndata: " + attempt + "\n\n")
                .toArray(String[]::new);
    }
}
