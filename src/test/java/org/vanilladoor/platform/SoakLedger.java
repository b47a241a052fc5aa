package org.vanilladoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records what callers and endpoints observed during a soak and checks it against the guarantees.
 *
 * <p>Invariant: a run is recorded before its response leaves the endpoint. Safe for use by any
 * thread.
 */
final class SoakLedger {
    /**
     * Time after a withdrawal from which no request with that key may run, as the settings define.
     */
    private static final long WITHDRAWAL_LIMIT_MILLIS = 5_000;

    private final AnswerLedger mAnswers = AnswerLedger.ofDisturbedGateway();
    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Sent> mSent = new ConcurrentHashMap<>();
    private final Map<String, Integer> mStatuses = new ConcurrentHashMap<>();
    private final Map<String, Long> mWithdrawn = new ConcurrentHashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();

    /** Records that a caller is about to send a request. */
    void recordSent(String attempt, SoakRoute route, String key, long nowMillis) {
        mSent.put(attempt, new Sent(route, key, nowMillis));
        String stream = route == SoakRoute.FLOW ? SoakEndpoint.streamBody(attempt) : "";
        mAnswers.recordSent(
                attempt,
                new AnswerLedger.Sent(route.maximumRuns(), stream, SoakRoute.TIMEOUT_MILLIS));
    }

    /** Records what a caller received. */
    void recordReceived(String attempt, CallerConnection.Response response) {
        mStatuses.put(
                attempt, response.end() == CallerConnection.End.COMPLETE ? response.status() : 0);
        mAnswers.recordReceived(attempt, response);
    }

    /** Records what an endpoint gives to a request. */
    void recordGiven(String attempt, AnswerLedger.Given given) {
        mAnswers.recordGiven(attempt, given);
    }

    /** Records that an endpoint runs a request. */
    void recordRun(String attempt, String endpoint, String team) {
        mRuns.computeIfAbsent(attempt, key -> new CopyOnWriteArrayList<>())
                .add(new Run(endpoint, team));
    }

    /** Records that the store has accepted a configuration without a key. */
    void recordWithdrawal(String key, long nowMillis) {
        mWithdrawn.put(key, nowMillis);
    }

    /** Records a violation of a guarantee. */
    void recordViolation(String what) {
        mViolations.add(what);
    }

    /** Returns the violations, one line each. */
    List<String> findings() {
        List<String> findings = new ArrayList<>(mViolations);
        findings.addAll(mAnswers.findings());
        mRuns.forEach((attempt, runs) -> checkRuns(attempt, runs, findings));
        return findings;
    }

    /**
     * Returns the share, from 0 to 1, of the requests sent since a time with valid keys that were
     * served.
     */
    double servedShareSince(long millis) {
        List<String> sentSince = new ArrayList<>();
        mSent.forEach(
                (attempt, sent) -> {
                    if (sent.atMillis() >= millis && !mWithdrawn.containsKey(sent.key())) {
                        sentSince.add(attempt);
                    }
                });
        long servedCount = sentSince.stream().filter(each -> statusOf(each) == 200).count();
        return sentSince.isEmpty() ? 0 : (double) servedCount / sentSince.size();
    }

    /** Returns the number of requests with a successful response. */
    long servedCount() {
        return mStatuses.values().stream().filter(status -> status == 200).count();
    }

    private void checkRuns(String attempt, List<Run> runs, List<String> findings) {
        Sent sent = mSent.get(attempt);
        if (sent == null) {
            findings.add("nobody sent " + attempt + ", which ran at " + runs);
            return;
        }
        for (Run run : runs) {
            if (!run.team().equals(sent.route().teamOf(sent.key()))) {
                findings.add(attempt + " with " + sent.key() + " ran for " + run.team());
            }
        }
        Long withdrawnAtMillis = sent.route().isPublic() ? null : mWithdrawn.get(sent.key());
        if (withdrawnAtMillis != null
                && sent.atMillis() > withdrawnAtMillis + WITHDRAWAL_LIMIT_MILLIS) {
            long delayMillis = sent.atMillis() - withdrawnAtMillis;
            findings.add(attempt + " ran, sent " + delayMillis + " ms after its key was withdrawn");
        }
    }

    private int statusOf(String attempt) {
        return mStatuses.getOrDefault(attempt, 0);
    }

    /** A request as its caller sent it. */
    private record Sent(SoakRoute route, String key, long atMillis) {}

    /** One execution of a request at an endpoint. */
    private record Run(String endpoint, String team) {}
}
