package org.vanilladoor.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.platform.AnswerLedger.Given;
import org.vanilladoor.platform.AnswerLedger.Sent;
import org.vanilladoor.platform.ByteFault.Place;
import org.vanilladoor.platform.CallerConnection.Response;
import org.vanilladoor.platform.FramedResponse.Framing;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * One gateway, its faulty endpoints and a caller that sends a sequence of requests on a connection
 * that it keeps.
 *
 * <p>Invariant: the endpoints are sound again before the last requests, which must be served.
 * Confined to one thread, except the scripts, which run on the endpoints' threads.
 */
final class ByteFaultFuzz extends GatewayFixture implements AutoCloseable {
    private static final int EVENTS = 4;
    private static final int READ_TIMEOUT_MILLIS = 4_000;
    private static final long RECOVERY_TIMEOUT_MILLIS = 10_000;
    private static final Reaction SOUND =
            new Reaction(Outcome.SUCCESS, Framing.LENGTH, ByteFault.NONE, new Place(0, 0));

    private final AnswerLedger mLedger = AnswerLedger.ofSteadyGateway();
    private final Map<String, Step> mSteps = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mArrivals = new ConcurrentHashMap<>();
    private CallerConnection mConnection;
    private int mNextNumber;

    /** Plays a sequence and returns the violations, one line each. */
    static List<String> run(int endpointCount, List<Step> steps) throws IOException {
        try (ByteFaultFuzz fuzz = new ByteFaultFuzz()) {
            fuzz.start();
            for (int i = 0; i < endpointCount; i++) {
                fuzz.registerFaulty("e-" + i);
            }
            for (Step step : steps) {
                fuzz.send(step, "");
            }
            fuzz.checkServesAgain();
            return fuzz.mLedger.findings();
        }
    }

    @Override
    public void close() throws IOException {
        if (mConnection != null) {
            mConnection.close();
        }
        stop();
    }

    private void registerFaulty(String name) throws IOException {
        register(
                name,
                EngineRole.DECODE,
                ScriptedEndpoint.startPerConnection(() -> connectionScript(name)));
    }

    private Function<Received, Answer> connectionScript(String name) {
        List<String> history = new ArrayList<>();
        return received -> respond(name, received, history);
    }

    private Answer respond(String name, Received received, List<String> history) {
        String attempt = received.header("vanilladoor-attempt-id");
        Step step = mSteps.get(attempt);
        if (step == null || !step.kind().matches(received)) {
            mLedger.recordViolation("UNASKED " + received);
            return ScriptedEndpoint.response(received, 500, "", "");
        }
        int arrival = mArrivals.get(attempt).getAndIncrement();
        Reaction reaction = arrival == 0 ? step.first() : step.second();
        FramedResponse response = reaction.response(name, step.kind(), received);
        boolean hasEarlier = !history.isEmpty();
        ByteFault fault =
                reaction.fault().appliesTo(response, hasEarlier)
                        ? reaction.fault()
                        : ByteFault.NONE;
        String earlier = hasEarlier ? history.get(history.size() - 1) : response.text();
        history.add(response.text());
        mLedger.recordGiven(
                attempt,
                new Given(
                        name,
                        reaction.outcome().ran(),
                        reaction.outcome().status(),
                        stampOf(name, attempt),
                        response.statedBody(),
                        response.framing().isSound() && fault == ByteFault.NONE,
                        fault.isEndless()));
        return fault.apply(response, earlier, reaction.place());
    }

    private Response send(Step step, String headers) throws IOException {
        if (mConnection == null || !mConnection.isUsable()) {
            reconnect();
        }
        if (mConnection.hasUnexpectedBytes()) {
            mLedger.recordViolation("MIXED bytes arrived without a request waiting");
        }
        mState.confirmNewest(ExpiryClock.nowMillis());
        String attempt = String.format("id-%04d", mNextNumber++);
        mSteps.put(attempt, step);
        mArrivals.put(attempt, new AtomicInteger());
        mLedger.recordSent(attempt, step.kind().sent(attempt));
        Response response = mConnection.exchange(step.kind().request(attempt, headers));
        mLedger.recordReceived(attempt, response);
        return response;
    }

    private void reconnect() throws IOException {
        if (mConnection != null) {
            mConnection.close();
        }
        mConnection = CallerConnection.open(mServer.address(), READ_TIMEOUT_MILLIS);
    }

    private void checkServesAgain() throws IOException {
        long deadline = MonotonicClock.nowMillis() + RECOVERY_TIMEOUT_MILLIS;
        Step probe = new Step(Kind.SAFE, SOUND, SOUND);
        Response response = send(probe, "Connection: close\r\n");
        while (response.status() != 200 && MonotonicClock.nowMillis() < deadline) {
            response = send(probe, "Connection: close\r\n");
        }
        if (response.status() != 200) {
            mLedger.recordViolation("LOST nothing is served after the faults: " + response);
        } else if (!mConnection.endsWithoutFurtherBytes()) {
            mLedger.recordViolation("MIXED bytes after the last response: " + response);
        }
    }

    private static String stampOf(String endpoint, String attempt) {
        return "stamp-" + endpoint + "-" + attempt;
    }

    private static List<String> events(String attempt, int after) {
        return IntStream.rangeClosed(after + 1, EVENTS)
                .mapToObj(number -> "id: " + number + "\ndata: " + attempt + "\n\n")
                .toList();
    }

    /** What a caller asks for. */
    enum Kind {
        ONCE("POST /once/x", 1),
        SAFE("POST /safe/x", 2),
        HEAD("HEAD /safe/x", 2),
        CHAT("POST /chat/x", 1),
        RESUME("POST /resume/x", 2);

        private final String mMethodAndPath;
        private final int mMaximumRuns;

        Kind(String methodAndPath, int maximumRuns) {
            mMethodAndPath = methodAndPath;
            mMaximumRuns = maximumRuns;
        }

        boolean isStream() {
            return this == CHAT || this == RESUME;
        }

        private boolean matches(Received received) {
            return received.head().startsWith(mMethodAndPath + " HTTP/1.1\r\n")
                    && received.body().equals(this == HEAD ? "" : "body");
        }

        private Sent sent(String attempt) {
            String stream = isStream() ? String.join("", events(attempt, 0)) : "";
            return new Sent(mMaximumRuns, stream, TIMEOUT_MILLIS);
        }

        private String request(String attempt, String headers) {
            return mMethodAndPath
                    + " HTTP/1.1\r\nHost: h\r\nVanilladoor-Deadline-Ms: 5000\r\n"
                    + "Vanilladoor-Key: secret\r\nVanilladoor-Attempt-Id: "
                    + attempt
                    + "\r\n"
                    + headers
                    + (this == HEAD ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
        }
    }

    /** What an endpoint does with a request before a fault changes its bytes. */
    enum Outcome {
        SUCCESS(200, true),
        FAILURE(500, true),
        REFUSAL(503, false),
        MISDIRECTED(421, false),
        NO_CONTENT(204, true),
        NOT_MODIFIED(304, true);

        private final int mStatus;
        private final boolean mRan;

        Outcome(int status, boolean ran) {
            mStatus = status;
            mRan = ran;
        }

        int status() {
            return mStatus;
        }

        boolean ran() {
            return mRan;
        }

        private boolean hasNoBody() {
            return this == NO_CONTENT || this == NOT_MODIFIED;
        }
    }

    /** How an endpoint responds to the first or the second arrival of a request. */
    record Reaction(Outcome outcome, Framing framing, ByteFault fault, Place place) {
        private FramedResponse response(String endpoint, Kind kind, Received received) {
            String attempt = received.header("vanilladoor-attempt-id");
            boolean isEventStream = kind.isStream() && outcome == Outcome.SUCCESS;
            String head =
                    "HTTP/1.1 "
                            + outcome.status()
                            + " Status\r\n"
                            // A remainder that is cut behind this field is still a refusal.
                            + (outcome.ran() ? "" : "Vanilladoor-Not-Run: 1\r\n")
                            + "Server: stand-in\r\nContent-Type: "
                            + (isEventStream ? "text/event-stream" : "text/plain")
                            + "\r\nVanilladoor-Attempt-Id: "
                            + attempt
                            + "\r\n"
                            // Only what ran is signed.
                            + (outcome.ran()
                                    ? "Vanilladoor-Stamp: " + stampOf(endpoint, attempt) + "\r\n"
                                    : "");
            String last = received.header("last-event-id");
            List<String> pieces =
                    isEventStream
                            ? events(attempt, last.isEmpty() ? 0 : Integer.parseInt(last))
                            : List.of(outcome + " of ", endpoint + " for " + attempt);
            return new FramedResponse(
                    head, pieces, framingOf(kind == Kind.HEAD || outcome.hasNoBody()));
        }

        private Framing framingOf(boolean hasNoBody) {
            if (hasNoBody) {
                return framing.isForNoBody() ? framing : Framing.NO_BODY;
            }
            return fault.framingInsteadOf(framing.isForNoBody() ? Framing.LENGTH : framing);
        }
    }

    /** A request, and how the endpoints respond to its first and its second arrival. */
    record Step(Kind kind, Reaction first, Reaction second) {}
}
