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
 * An endpoint of a soak behind a link; its instances replace each other at the same address.
 *
 * <p>Confined to the soak's thread, except the script, which runs on the endpoint's threads.
 */
final class SoakEndpoint implements AutoCloseable {
    private static final String SERVICE = "app";
    private static final String KIND = "servers";
    private final SoakPlatform mPlatform;
    private final SoakLedger mLedger;
    private final FaultyLink mLink;
    private final int mIndex;
    private int mStartCount;
    private volatile String mName;
    private volatile ScriptedEndpoint mServer;

    private SoakEndpoint(SoakPlatform platform, SoakLedger ledger, int index) throws IOException {
        mPlatform = platform;
        mLedger = ledger;
        mIndex = index;
        mLink = FaultyLink.start(() -> mServer.address());
    }

    static SoakEndpoint start(SoakPlatform platform, SoakLedger ledger, int index)
            throws IOException {
        SoakEndpoint endpoint = new SoakEndpoint(platform, ledger, index);
        endpoint.startInstance();
        return endpoint;
    }

    static String responseBody(String attempt) {
        return "done " + attempt;
    }

    static String streamBody(String attempt) {
        return String.join("", streamEvents(attempt));
    }

    FaultyLink link() {
        return mLink;
    }

    HostPort address() {
        return mLink.address();
    }

    /** Starts an instance under a new name at the same address and registers it. */
    void startInstance() throws IOException {
        String name = "i-" + mIndex + "-" + mStartCount++;
        mServer = ScriptedEndpoint.start(received -> respond(name, received));
        mName = name;
        register("ready");
    }

    /** Registers the instance as draining; it keeps serving. */
    void registerDraining() {
        register("draining");
    }

    /** Ends the instance without deregistering it. */
    void crash() throws IOException {
        mServer.close();
    }

    /** Removes the registration of the instance. */
    void deregister() {
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
        spec.put("born", 1_000 + mStartCount);
        mPlatform.put(KIND, mName, spec);
    }

    private Answer respond(String name, Received received) {
        if (!received.header("vanilladoor-expect-instance").equals(name)) {
            return ScriptedEndpoint.refusal(received, 421);
        }
        String attempt = received.header("vanilladoor-attempt-id");
        // 2 % are refused as full, 2 % are reset after they have run, 1 % hang.
        int draw = Math.floorMod(attempt.hashCode() * 31 + mIndex, 100);
        if (draw < 2) {
            return ScriptedEndpoint.refusal(received, 503);
        }
        mLedger.recordRun(attempt, name, received.header("vanilladoor-tenant"));
        if (draw < 4) {
            return new Answer("HTTP/1.1 200 O", End.RESET);
        }
        if (draw < 5) {
            return new Answer("", End.HANG);
        }
        if (received.head().startsWith("POST " + SoakRoute.FLOW.prefix())) {
            return ScriptedEndpoint.streamResponse(received, End.KEEP, streamEvents(attempt));
        }
        return ScriptedEndpoint.response(received, 200, "", responseBody(attempt));
    }

    private static String[] streamEvents(String attempt) {
        return IntStream.rangeClosed(1, SoakRoute.EVENTS)
                .mapToObj(number -> "id: " + number + "\ndata: " + attempt + "\n\n")
                .toArray(String[]::new);
    }
}
