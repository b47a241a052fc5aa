package org.vanilladoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.vanilladoor.platform.CallerConnection.End;
import org.vanilladoor.platform.CallerConnection.Response;

/**
 * Compares the responses that callers received with those that endpoints gave.
 *
 * <p>Invariant: what an endpoint gives is recorded before its first byte leaves. Safe for use by
 * any thread.
 */
final class AnswerLedger {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Time after a request's limit by which it must have ended, as the operators state. */
    private static final long END_DELAY_MILLIS = 500;

    private final Map<String, Sent> mSent = new ConcurrentHashMap<>();
    private final Map<String, List<Given>> mGiven = new ConcurrentHashMap<>();
    private final Map<String, Response> mReceived = new ConcurrentHashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();
    private final boolean mSteady;

    private AnswerLedger(boolean steady) {
        mSteady = steady;
    }

    /** Creates a ledger for a gateway that is never disturbed, except by its endpoints' bytes. */
    static AnswerLedger ofSteadyGateway() {
        return new AnswerLedger(true);
    }

    /**
     * Creates a ledger for processes that are paused, killed and cut off, and for callers whose
     * keys are withdrawn: it doesn't check how long responses take, nor which failures are allowed.
     */
    static AnswerLedger ofDisturbedGateway() {
        return new AnswerLedger(false);
    }

    /** Records that a caller is about to send a request. */
    void recordSent(String attempt, Sent sent) {
        mSent.put(attempt, sent);
    }

    /** Records what an endpoint gives to a request, and whether it ran the request. */
    void recordGiven(String attempt, Given given) {
        mGiven.computeIfAbsent(attempt, key -> new CopyOnWriteArrayList<>()).add(given);
    }

    /** Records what the caller received. */
    void recordReceived(String attempt, Response response) {
        mReceived.put(attempt, response);
    }

    void recordViolation(String what) {
        mViolations.add(what);
    }

    /** Returns the violations, one line each, beginning with the rule. */
    List<String> findings() {
        List<String> findings = new ArrayList<>(mViolations);
        mGiven.forEach((attempt, given) -> checkRuns(attempt, given, findings));
        mReceived.forEach((attempt, response) -> checkResponse(attempt, response, findings));
        return findings;
    }

    private void checkRuns(String attempt, List<Given> given, List<String> findings) {
        Sent sent = mSent.get(attempt);
        if (sent == null) {
            findings.add("UNASKED nobody sent " + attempt);
            return;
        }
        long runCount = given.stream().filter(Given::ran).count();
        if (runCount > sent.maximumRuns()) {
            findings.add("TWICE " + attempt + " ran " + runCount + " times: " + given);
        }
        Response response = mReceived.get(attempt);
        if (response != null
                && NOT_RUN_STATUSES.contains(response.status())
                && sent.maximumRuns() == 1
                && runCount > 0) {
            findings.add("REFUSED " + attempt + " got " + response + " and ran: " + given);
        }
    }

    private void checkResponse(String attempt, Response response, List<String> findings) {
        Sent sent = mSent.get(attempt);
        List<Given> allGiven = mGiven.getOrDefault(attempt, List.of());
        String trace = " " + attempt + " got " + response + ", given " + allGiven;
        if (response.end() == End.MALFORMED) {
            findings.add("MIXED no response:" + trace);
            return;
        }
        if (mSteady && response.tookMillis() > sent.limitMillis() + END_DELAY_MILLIS) {
            findings.add("CONFIG no end in time:" + trace);
        }
        if (response.status() == 0) {
            // A faulty endpoint may have broken off what was passed on.
            if (mSteady && !allGiven.isEmpty() && allGiven.stream().allMatch(Given::sound)) {
                findings.add("LOST no response:" + trace);
            }
            return;
        }
        String echoed = response.field("vanilladoor-attempt-id");
        if (!echoed.isEmpty() && !echoed.equals(attempt)) {
            findings.add("MIXED identifier of another request:" + trace);
        }
        String stamp = response.field("vanilladoor-stamp");
        if (!stamp.isEmpty() && echoed.isEmpty()) {
            findings.add("MIXED signed response without identifier:" + trace);
        }
        if (!stamp.isEmpty()) {
            checkSigned(stamp, sent, response, allGiven, trace, findings);
        } else if (response.status() < 400) {
            findings.add("MIXED success that no endpoint signed:" + trace);
        } else if (mSteady
                && response.status() < 500
                && !NOT_RUN_STATUSES.contains(response.status())) {
            findings.add("DENIED a proper request:" + trace);
        }
    }

    private static void checkSigned(
            String stamp,
            Sent sent,
            Response response,
            List<Given> allGiven,
            String trace,
            List<String> findings) {
        List<Given> candidates =
                allGiven.stream()
                        .filter(given -> given.stamp().equals(stamp))
                        .filter(given -> given.status() == response.status())
                        .toList();
        if (candidates.isEmpty()) {
            findings.add("MIXED status that no endpoint gave:" + trace);
            return;
        }
        boolean isStream = !sent.stream().isEmpty() && response.status() == 200;
        List<String> bodies =
                isStream ? List.of(sent.stream()) : candidates.stream().map(Given::body).toList();
        String rule = isStream ? "ORDER" : "MIXED";
        if (bodies.stream().noneMatch(body -> body.startsWith(response.body()))) {
            findings.add(rule + " body that no endpoint gave:" + trace);
        } else if (response.end() == End.COMPLETE
                && bodies.stream().noneMatch(response.body()::equals)) {
            findings.add(rule + " part of a body that looks complete:" + trace);
        } else if (response.end() == End.COMPLETE
                && !isStream
                && candidates.stream().allMatch(Given::endless)) {
            findings.add(rule + " response without end that looks complete:" + trace);
        }
    }

    /**
     * A request as its caller sent it.
     *
     * @param maximumRuns how often it may run
     * @param stream all events of the stream that it asks for, or an empty string
     * @param limitMillis time within which it must end
     */
    record Sent(int maximumRuns, String stream, long limitMillis) {}

    /**
     * What an endpoint gave to a request, as its bytes state it.
     *
     * @param endpoint the endpoint's name
     * @param ran whether the endpoint ran the request
     * @param sound whether its bytes are one complete response and nothing else
     * @param endless whether the response never ends
     */
    record Given(
            String endpoint,
            boolean ran,
            int status,
            String stamp,
            String body,
            boolean sound,
            boolean endless) {}
}
