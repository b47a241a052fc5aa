package org.vanilladoor.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Decides which prompt parts no longer reach engines because they crash them; their requests are
 * known as queries of death.
 *
 * <p>When an engine crashes, the parts of each request that it was about to answer become suspect.
 * A part is quarantined once {@link #CRASHES_TO_QUARANTINE} engines have crashed with it, no
 * request with it was answered since, and no quarantined part that was answered less explains the
 * crashes. An answer clears the crashes known by then, and so does one within {@link
 * #RECENT_ANSWER_MILLIS} before the crash: a part that is common to many requests is answered all
 * the time, while the one that crashes engines never is. The evidence is the union of what all VMs
 * have observed, whatever the order in which it arrives.
 *
 * <p>A quarantined part gets another chance: one VM may let a request through, if all VMs can know
 * of that before. Several parts may be in the same crashes, and no answer may be known that tells
 * them apart; then a request that lacks one of them is a trial that does. It comes {@link
 * #TRIAL_INTERVALS_IN_DOUBT_MILLIS soon}, and not again for a part that has crashed an engine
 * without the others. A part that was answered before is tested {@link
 * #TRIAL_INTERVAL_AFTER_ANSWERS_MILLIS later}, any other one after a {@link #TRIAL_INTERVAL_MILLIS
 * long time}, {@link #MAXIMUM_TRIALS} times.
 *
 * <p>Invariants: the verdict depends only on the parts, never on the caller, the key or the rest of
 * the prompt; memory is bounded however many parts callers make up. Does no I/O; time is passed in
 * as an argument. Confined to the control thread.
 */
public final class PromptQuarantine {
    /** Number of crashed engines after which a part is quarantined. */
    public static final int CRASHES_TO_QUARANTINE = 3;

    /** Number of requests with a quarantined part that all VMs together let through to test it. */
    public static final int MAXIMUM_TRIALS = 2;

    /** Time without new evidence after which a quarantined part may be tested again. */
    public static final long TRIAL_INTERVAL_MILLIS = 1_800_000;

    /**
     * Time without new evidence, which takes about a second to arrive, after which a part that may
     * be held back for another one is tested, by the number of trials before.
     */
    static final List<Long> TRIAL_INTERVALS_IN_DOUBT_MILLIS = List.of(1_500L, 4_000L, 15_000L);

    /** Number of trials of a part that was answered before. */
    private static final int MAXIMUM_TRIALS_AFTER_ANSWERS = 3;

    /** Time without new evidence after which such a part may be tested. */
    private static final long TRIAL_INTERVAL_AFTER_ANSWERS_MILLIS = 15_000;

    /** Time for which an answer vouches for the parts of its prompt. */
    static final long RECENT_ANSWER_MILLIS = 10_000;

    /** Time after which evidence that has not led to a quarantine is dropped. */
    private static final long SUSPICION_MILLIS = 3_600_000;

    /** Maximum number of parts under suspicion. */
    static final int MAXIMUM_SUSPECTS = 512;

    /** Maximum number of parts of one crashed request, so that two requests' parts are kept. */
    static final int MAXIMUM_PARTS_PER_CRASH = MAXIMUM_SUSPECTS / 2;

    /** Maximum number of parts whose last answer is remembered. */
    private static final int MAXIMUM_ANSWERED_PARTS = 4_096;

    private final Map<String, PartEvidence> mSuspects = new HashMap<>();
    private final Map<String, Integer> mUnexplainedCrashes = new HashMap<>();
    private final AnswerCounts mAnswerCounts = AnswerCounts.create();
    private final Map<String, Long> mAnsweredMillis =
            new LinkedHashMap<>(MAXIMUM_ANSWERED_PARTS, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAXIMUM_ANSWERED_PARTS;
                }
            };
    private long mRevision;
    private long mVerdictVersion;

    private PromptQuarantine() {}

    /** Returns a quarantine without evidence. */
    public static PromptQuarantine create() {
        return new PromptQuarantine();
    }

    /** Returns whether a prompt with the given parts may be sent to an engine. */
    public PromptVerdict verdict(Collection<String> parts) {
        if (mUnexplainedCrashes.isEmpty()) {
            return PromptVerdict.SOUND;
        }
        int mostCrashes =
                parts.stream()
                        .mapToInt(part -> mUnexplainedCrashes.getOrDefault(part, 0))
                        .max()
                        .orElse(0);
        if (mostCrashes >= CRASHES_TO_QUARANTINE) {
            return PromptVerdict.QUARANTINED;
        }
        return mostCrashes > 0 ? PromptVerdict.SUSPECT : PromptVerdict.SOUND;
    }

    /** Returns whether each of the parts was recently answered, so that none can be to blame. */
    public boolean areRecentlyAnswered(Collection<String> parts, long nowMillis) {
        return parts.stream().allMatch(part -> isRecentlyAnswered(part, nowMillis));
    }

    /**
     * Records that an engine crashed while it was about to answer a request.
     *
     * @param engine identifies the engine and its start
     * @param parts identifiers of the parts that the request may share with others
     */
    public void recordCrash(String engine, Collection<String> parts, long nowMillis) {
        parts.stream()
                .distinct()
                .filter(part -> !isRecentlyAnswered(part, nowMillis))
                .sorted(mostSuspiciousFirst())
                .limit(MAXIMUM_PARTS_PER_CRASH)
                .forEach(part -> addCrash(part, engine, nowMillis));
        evictSuspects(nowMillis);
        explainCrashes();
    }

    private Comparator<String> mostSuspiciousFirst() {
        return Comparator.<String>comparingInt(part -> mSuspects.containsKey(part) ? 0 : 1)
                .thenComparingInt(mAnswerCounts::count);
    }

    private void addCrash(String part, String engine, long nowMillis) {
        PartEvidence evidence = evidence(part);
        noteChange(evidence.addCrash(engine, nowMillis));
        noteChange(evidence.noteAnswers(mAnswerCounts.count(part)));
    }

    /** Records that an engine has answered a request and survived it. */
    public void recordAnswer(Collection<String> parts, long nowMillis) {
        for (String part : parts) {
            mAnsweredMillis.put(part, nowMillis);
            mAnswerCounts.add(part);
            if (mSuspects.containsKey(part)) {
                clear(part, nowMillis);
            }
        }
    }

    private void clear(String part, long nowMillis) {
        PartEvidence evidence = mSuspects.get(part);
        Set<String> crashes = new HashSet<>();
        evidence.collectCrashes(crashes);
        if (!evidence.clear(nowMillis)) {
            return;
        }
        noteChange(true);
        if (isQuarantined(part)) {
            // The crashes that it explained must not come back to the parts beside it.
            mSuspects.values().stream()
                    .filter(other -> other.answers() > evidence.answers())
                    .forEach(other -> noteChange(other.clear(crashes, nowMillis)));
        }
        // Restarted VMs learn from the report that the part was answered.
        noteChange(evidence.noteAnswers(mAnswerCounts.count(part)));
        explainCrashes();
    }

    /** Adds what another VM, or an earlier process of this one, has observed. */
    public void merge(CrashReport report, long nowMillis) {
        long revision = mRevision;
        boolean isChanged = false;
        for (Map.Entry<String, CrashReport.Part> reported : report.parts().entrySet()) {
            String part = reported.getKey();
            PartEvidence evidence = evidence(part);
            isChanged |= evidence.merge(reported.getValue(), nowMillis);
            noteChange(evidence.noteAnswers(mAnswerCounts.count(part)));
            noteChange(isRecentlyAnswered(part, nowMillis) && evidence.clear(nowMillis));
        }
        evictSuspects(nowMillis);
        if (isChanged || mRevision != revision) {
            explainCrashes();
        }
    }

    /**
     * Attributes each crash to the quarantined parts that were answered least.
     *
     * <p>Depends on nothing but the evidence, so that VMs with the same evidence agree.
     */
    private void explainCrashes() {
        mVerdictVersion++;
        mUnexplainedCrashes.clear();
        SortedMap<Integer, List<String>> partsByAnswers = new TreeMap<>();
        mSuspects.forEach(
                (part, evidence) ->
                        partsByAnswers
                                .computeIfAbsent(evidence.answers(), key -> new ArrayList<>())
                                .add(part));
        Set<String> explained = new HashSet<>();
        for (List<String> parts : partsByAnswers.values()) {
            for (String part : parts) {
                mUnexplainedCrashes.put(part, mSuspects.get(part).crashesBut(explained));
            }
            parts.stream()
                    .filter(this::isQuarantined)
                    .forEach(part -> mSuspects.get(part).collectCrashes(explained));
        }
    }

    private boolean isQuarantined(String part) {
        return mUnexplainedCrashes.getOrDefault(part, 0) >= CRASHES_TO_QUARANTINE;
    }

    /**
     * Returns whether the quarantined parts of a prompt may be held back for the crashes of another
     * part, and a trial can still show that.
     */
    public boolean isInDoubt(Collection<String> parts) {
        Set<String> quarantined = quarantinedAmong(parts);
        Set<String> explained = crashesOfOthers(quarantined);
        return !quarantined.isEmpty()
                && quarantined.stream().allMatch(part -> isInDoubt(part, explained));
    }

    /**
     * Returns the quarantined parts of a prompt if a request with it may test them now, otherwise
     * nothing.
     */
    public Set<String> partsDueForTrial(Collection<String> parts, long nowMillis) {
        Set<String> quarantined = quarantinedAmong(parts);
        boolean isDue =
                isInDoubt(parts)
                        ? quarantined.stream().allMatch(part -> isDueInDoubt(part, nowMillis))
                        : quarantined.size() == 1
                                && isDueAlone(quarantined.iterator().next(), nowMillis);
        return isDue ? quarantined : Set.of();
    }

    /** Returns those of the parts that are quarantined. */
    Set<String> quarantinedAmong(Collection<String> parts) {
        return parts.stream().filter(this::isQuarantined).collect(Collectors.toSet());
    }

    /** Returns the crashes that quarantined parts explain, except those of the given parts. */
    private Set<String> crashesOfOthers(Set<String> parts) {
        Set<String> crashes = new HashSet<>();
        mSuspects.keySet().stream()
                .filter(part -> !parts.contains(part) && isQuarantined(part))
                .forEach(part -> mSuspects.get(part).collectCrashes(crashes));
        return crashes;
    }

    /** A crash that others don't explain is a coincidence, unless it came of a trial. */
    private boolean isInDoubt(String part, Set<String> explained) {
        PartEvidence evidence = mSuspects.get(part);
        int unexplained = evidence.crashesBut(explained);
        return unexplained == 0
                ? evidence.trials() < TRIAL_INTERVALS_IN_DOUBT_MILLIS.size()
                : unexplained < CRASHES_TO_QUARANTINE && evidence.trials() == 0;
    }

    private boolean isDueInDoubt(String part, long nowMillis) {
        PartEvidence evidence = mSuspects.get(part);
        return nowMillis - evidence.changedMillis()
                >= TRIAL_INTERVALS_IN_DOUBT_MILLIS.get(evidence.trials());
    }

    private boolean isDueAlone(String part, long nowMillis) {
        PartEvidence evidence = mSuspects.get(part);
        long quietMillis = nowMillis - evidence.changedMillis();
        return evidence.answers() > 0
                ? evidence.trials() < MAXIMUM_TRIALS_AFTER_ANSWERS
                        && quietMillis >= TRIAL_INTERVAL_AFTER_ANSWERS_MILLIS
                : evidence.trials() < MAXIMUM_TRIALS && quietMillis >= TRIAL_INTERVAL_MILLIS;
    }

    /** Announces a trial of a part; it must be published before the request is let through. */
    public void announceTrial(String part, String trial, long nowMillis) {
        noteChange(evidence(part).addTrial(trial, nowMillis));
        mVerdictVersion++;
    }

    /** Returns a number that changes whenever a verdict may have changed other than with time. */
    long verdictVersion() {
        return mVerdictVersion;
    }

    /** Returns a number that increases with each observation that other VMs have to learn. */
    public long revision() {
        return mRevision;
    }

    /** Returns all evidence, for the other VMs. */
    public CrashReport report() {
        Map<String, CrashReport.Part> parts = new TreeMap<>();
        mSuspects.forEach((part, evidence) -> parts.put(part, evidence.toReport()));
        return new CrashReport(parts);
    }

    /** Returns the number of quarantined parts. */
    public long quarantinedParts() {
        return mSuspects.keySet().stream().filter(this::isQuarantined).count();
    }

    private boolean isRecentlyAnswered(String part, long nowMillis) {
        Long answeredMillis = mAnsweredMillis.get(part);
        return answeredMillis != null && nowMillis - answeredMillis < RECENT_ANSWER_MILLIS;
    }

    private PartEvidence evidence(String part) {
        return mSuspects.computeIfAbsent(part, key -> new PartEvidence());
    }

    private void noteChange(boolean isChanged) {
        if (isChanged) {
            mRevision++;
        }
    }

    /** Drops old suspicions, and the weakest ones if there are too many. */
    private void evictSuspects(long nowMillis) {
        mSuspects
                .values()
                .removeIf(
                        evidence ->
                                evidence.crashes() < CRASHES_TO_QUARANTINE
                                        && nowMillis - evidence.changedMillis() > SUSPICION_MILLIS);
        if (mSuspects.size() <= MAXIMUM_SUSPECTS) {
            return;
        }
        List<String> weakestFirst =
                mSuspects.entrySet().stream()
                        .sorted(
                                Map.Entry.comparingByValue(
                                        Comparator.comparingInt(PartEvidence::crashes)
                                                .thenComparingLong(PartEvidence::changedMillis)))
                        .map(Map.Entry::getKey)
                        .toList();
        weakestFirst.subList(0, mSuspects.size() - MAXIMUM_SUSPECTS).forEach(mSuspects::remove);
    }
}
