package org.vanilladoor.quarantine;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * The evidence of all VMs about one prompt part.
 *
 * <p>Invariant: the sets and the number of answers only grow; a crash counts until it is cleared.
 * Confined to the control thread.
 */
final class PartEvidence {
    /** Maximum size of each set; more crashes or trials would not change any decision. */
    private static final int MAXIMUM_ELEMENTS = 32;

    /** Maximum number of answers that is told apart, so that few changes are published. */
    private static final int MAXIMUM_ANSWERS = 8;

    private final Set<String> mCrashes = new TreeSet<>();
    private final Set<String> mCleared = new TreeSet<>();
    private final Set<String> mTrials = new TreeSet<>();
    private int mAnswers;
    private long mChangedMillis;

    boolean addCrash(String engine, long nowMillis) {
        return add(mCrashes, Set.of(engine), nowMillis);
    }

    boolean addTrial(String trial, long nowMillis) {
        return add(mTrials, Set.of(trial), nowMillis);
    }

    /**
     * Notes that about this many requests with the part were answered before, rounded down to a
     * power of two.
     */
    boolean noteAnswers(int answers) {
        int rounded = Integer.highestOneBit(Math.min(answers, MAXIMUM_ANSWERS));
        boolean isChanged = rounded > mAnswers;
        mAnswers = Math.max(mAnswers, rounded);
        return isChanged;
    }

    /** Clears all crashes that are known now. */
    boolean clear(long nowMillis) {
        return add(mCleared, mCrashes, nowMillis);
    }

    /** Clears those of the given crashes that are known. */
    boolean clear(Set<String> engines, long nowMillis) {
        Set<String> known = new TreeSet<>(engines);
        known.retainAll(mCrashes);
        return add(mCleared, known, nowMillis);
    }

    boolean merge(CrashReport.Part other, long nowMillis) {
        boolean isChanged = add(mCrashes, other.crashes(), nowMillis);
        isChanged |= add(mCleared, other.cleared(), nowMillis);
        isChanged |= add(mTrials, other.trials(), nowMillis);
        isChanged |= noteAnswers(other.answers());
        return isChanged;
    }

    private boolean add(Set<String> elements, Set<String> added, long nowMillis) {
        boolean isChanged = false;
        for (String element : added) {
            isChanged |= elements.size() < MAXIMUM_ELEMENTS && elements.add(element);
        }
        if (isChanged) {
            mChangedMillis = nowMillis;
        }
        return isChanged;
    }

    /** Returns the number of crashes that are not cleared. */
    int crashes() {
        return crashesBut(Set.of());
    }

    /** Returns the number of crashes that are neither cleared nor explained by other parts. */
    int crashesBut(Set<String> explained) {
        return (int)
                mCrashes.stream()
                        .filter(engine -> !mCleared.contains(engine))
                        .filter(engine -> !explained.contains(engine))
                        .count();
    }

    /** Adds the crashes that are not cleared. */
    void collectCrashes(Collection<String> engines) {
        mCrashes.stream().filter(engine -> !mCleared.contains(engine)).forEach(engines::add);
    }

    /** Returns about how many requests with the part were answered before, on one VM. */
    int answers() {
        return mAnswers;
    }

    int trials() {
        return mTrials.size();
    }

    /** Returns the time of the last addition. */
    long changedMillis() {
        return mChangedMillis;
    }

    CrashReport.Part toReport() {
        return new CrashReport.Part(mCrashes, mCleared, mTrials, mAnswers);
    }
}
