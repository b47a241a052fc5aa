package org.vanilladoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What callers and endpoints saw during a soak, held against the promises.
 *
 * <p>Invariant: a run is noted before its answer leaves the endpoint. Safe for use by any thread.
 */
final class SoakLedger {
    /** Time after which no request with a withdrawn key may run, as the settings say. */
    private static final long WITHDRAWN_MILLIS = 5_000;

    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Sent> mSent = new ConcurrentHashMap<>();
    private final Map<String, Integer> mStatuses = new ConcurrentHashMap<>();
    private final Map<String, Long> mWithdrawn = new ConcurrentHashMap<>();
    private final List<String> mBroken = new CopyOnWriteArrayList<>();

    /** Notes that a caller is about to send a request. */
    void sending(String attempt, SoakRoute route, String key, long nowMillis) {
        mSent.put(attempt, new Sent(route, key, nowMillis));
    }

    /** Notes an answer; the status is 0 if there was none. */
    void answered(String attempt, int status) {
        mStatuses.put(attempt, status);
    }

    /** Notes that an endpoint runs a request. */
    void ran(String attempt, String endpoint, String team) {
        mRuns.computeIfAbsent(attempt, key -> new CopyOnWriteArrayList<>())
                .add(new Run(endpoint, team));
    }

    /** Notes that the store has accepted a configuration without a key. */
    void withdrawn(String key, long nowMillis) {
        mWithdrawn.put(key, nowMillis);
    }

    /** Notes a promise that was seen broken. */
    void broken(String what) {
        mBroken.add(what);
    }

    /** Returns what is broken, one line each. */
    List<String> findings() {
        List<String> findings = new ArrayList<>(mBroken);
        mRuns.forEach((attempt, runs) -> check(attempt, runs, findings));
        return findings;
    }

    /** Returns the share of the requests sent since a time that were served. */
    double servedSince(long millis) {
        List<String> since = new ArrayList<>();
        mSent.forEach(
                (attempt, sent) -> {
                    if (sent.atMillis() >= millis && !mWithdrawn.containsKey(sent.key())) {
                        since.add(attempt);
                    }
                });
        long served = since.stream().filter(each -> statusOf(each) == 200).count();
        return since.isEmpty() ? 0 : (double) served / since.size();
    }

    /** Returns how many requests were answered with success. */
    long served() {
        return mStatuses.values().stream().filter(status -> status == 200).count();
    }

    private void check(String attempt, List<Run> runs, List<String> findings) {
        Sent sent = mSent.get(attempt);
        if (sent == null) {
            findings.add("nobody sent " + attempt + ", which ran at " + runs);
            return;
        }
        int status = statusOf(attempt);
        if (runs.size() > sent.route().mostRuns()) {
            findings.add(sent.route() + " " + attempt + " ran " + runs.size() + " times: " + runs);
        }
        boolean promised = status == 503 || status == 429 || status == 408 || status == 421;
        if (promised && sent.route().mostRuns() == 1) {
            findings.add(attempt + " was refused with " + status + " and ran: " + runs);
        }
        for (Run run : runs) {
            if (!run.team().equals(sent.route().teamOf(sent.key()))) {
                findings.add(attempt + " with " + sent.key() + " ran for " + run.team());
            }
        }
        Long withdrawn = sent.route().isPublic() ? null : mWithdrawn.get(sent.key());
        if (withdrawn != null && sent.atMillis() > withdrawn + WITHDRAWN_MILLIS) {
            long late = sent.atMillis() - withdrawn;
            findings.add(attempt + " ran, sent " + late + " ms after its key was withdrawn");
        }
    }

    private int statusOf(String attempt) {
        return mStatuses.getOrDefault(attempt, 0);
    }

    /** A request as its caller sent it. */
    private record Sent(SoakRoute route, String key, long atMillis) {}

    /** A run at an endpoint. */
    private record Run(String endpoint, String team) {}
}
