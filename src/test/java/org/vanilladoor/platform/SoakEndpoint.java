package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.platform.AnswerLedger.Given;
import org.vanilladoor.platform.ByteFault.Place;
import org.vanilladoor.platform.ByteFaultFuzz.Outcome;
import org.vanilladoor.platform.FramedResponse.Framing;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
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
    private volatile boolean mFaulty;

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
        mServer = ScriptedEndpoint.startPerConnection(() -> connectionScript(name));
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

    /** Lets the endpoint fail more requests and send faulty bytes, or stops this. */
    void setFaulty(boolean faulty) {
        mFaulty = faulty;
    }

    private Function<Received, Answer> connectionScript(String name) {
        List<String> history = new ArrayList<>();
        return received -> respond(name, received, history);
    }

    private Answer respond(String name, Received received, List<String> history) {
        if (!received.header("vanilladoor-expect-instance").equals(name)) {
            return send(Outcome.MISDIRECTED, ByteFault.NONE, received, history);
        }
        String attempt = received.header("vanilladoor-attempt-id");
        SplittableRandom random = new SplittableRandom(attempt.hashCode() * 31L + mIndex);
        // 2 % are refused as full, 2 % are reset after they have run, 1 % hang.
        int draw = random.nextInt(100);
        boolean faulty = mFaulty;
        Outcome outcome = Outcome.SUCCESS;
        if (draw < (faulty ? 20 : 2)) {
            outcome = Outcome.REFUSAL;
        } else if (faulty && draw < 50) {
            outcome = Outcome.FAILURE;
        }
        if (outcome.ran()) {
            mLedger.recordRun(attempt, name, received.header("vanilladoor-tenant"));
        }
        ByteFault fault = ByteFault.NONE;
        if (faulty) {
            fault = ByteFault.values()[random.nextInt(ByteFault.values().length)];
        } else if (draw >= 2 && draw < 4) {
            fault = ByteFault.CUT_THEN_RESET;
        } else if (draw == 4) {
            fault = ByteFault.CUT_THEN_SILENCE;
        }
        return send(outcome, fault, received, history);
    }

    private Answer send(
            Outcome outcome, ByteFault wantedFault, Received received, List<String> history) {
        String attempt = received.header("vanilladoor-attempt-id");
        SplittableRandom random = new SplittableRandom(~attempt.hashCode());
        boolean isStream =
                outcome == Outcome.SUCCESS
                        && received.head().startsWith("POST " + SoakRoute.FLOW.prefix());
        Framing framing = isStream ? Framing.CHUNKED : Framing.LENGTH;
        FramedResponse response =
                new FramedResponse(
                        head(outcome, received)
                                + (isStream ? "Content-Type: text/event-stream\r\n" : ""),
                        isStream ? streamEvents(attempt) : List.of("done ", attempt),
                        wantedFault.framingInsteadOf(framing));
        boolean hasEarlier = !history.isEmpty();
        ByteFault fault =
                wantedFault.appliesTo(response, hasEarlier) ? wantedFault : ByteFault.NONE;
        mLedger.recordGiven(
                attempt,
                new Given(
                        mName,
                        outcome.ran(),
                        outcome.status(),
                        ScriptedEndpoint.STAMP,
                        response.statedBody(),
                        fault == ByteFault.NONE,
                        fault.isEndless()));
        String earlier = hasEarlier ? history.get(history.size() - 1) : response.text();
        history.add(response.text());
        return fault.apply(
                response,
                earlier,
                new Place(random.nextInt(Place.PARTS), random.nextInt(Place.PARTS)));
    }

    private static String head(Outcome outcome, Received received) {
        String head = ScriptedEndpoint.head(received, outcome.status());
        // Only what ran is signed.
        return outcome.ran()
                ? head
                : head.replace(ScriptedEndpoint.STAMP_FIELD, "Vanilladoor-Not-Run: 1\r\n");
    }

    private static List<String> streamEvents(String attempt) {
        return IntStream.rangeClosed(1, SoakRoute.EVENTS)
                .mapToObj(number -> "id: " + number + "\ndata: " + attempt + "\n\n")
                .toList();
    }
}
