package org.vanilladoor.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.fleet.Endpoint;

/**
 * Admits requests to engines according to the {@link PromptQuarantine}, and passes on what becomes
 * of them.
 *
 * <p>Invariants: a request with a quarantined part is admitted only as a trial that all VMs could
 * know of beforehand, and each trial admits one request, whose quarantined parts are those that it
 * tests. A request in doubt waits for a limited time; any request may become the trial, so that a
 * part that comes rarely, or at one VM only, is tested too. Time is passed in as an argument.
 * Confined to the control thread.
 */
public final class PromptGuard {
    /** Maximum number of requests that wait for a verdict; the others are refused. */
    private static final int MAXIMUM_WAITING = 256;

    /** Time between requests for the other VMs' evidence while requests wait for it. */
    private static final long READ_INTERVAL_MILLIS = 500;

    /** Time after a claim that failed. */
    private static final long CLAIM_INTERVAL_MILLIS = 250;

    private final PromptQuarantine mQuarantine;
    private final CrashReportPublisher mPublisher;
    private final String mIncarnation;
    private final Set<WaitingRequest> mWaiting = new LinkedHashSet<>();
    private int mTrials;
    private boolean mClaiming;
    private long mNowMillis;
    private long mNextClaimMillis = Long.MIN_VALUE;
    private long mNextReadMillis = Long.MIN_VALUE;
    private long mCheckedVersion;

    private PromptGuard(
            PromptQuarantine quarantine, CrashReportPublisher publisher, String incarnation) {
        mQuarantine = quarantine;
        mPublisher = publisher;
        mIncarnation = incarnation;
    }

    /**
     * Returns a guard.
     *
     * @param quarantine evidence about prompt parts
     * @param publisher makes new evidence known to the other VMs
     * @param incarnation identifier of this run of the process
     */
    public static PromptGuard create(
            PromptQuarantine quarantine, CrashReportPublisher publisher, String incarnation) {
        return new PromptGuard(quarantine, publisher, incarnation);
    }

    /**
     * Decides whether a request may be sent to an engine now.
     *
     * @param parts identifiers of the parts of its prompt that other requests may share
     */
    public PromptVerdict verdict(Collection<String> parts, long nowMillis) {
        PromptVerdict verdict = mQuarantine.verdict(parts);
        if (verdict != PromptVerdict.QUARANTINED) {
            return verdict;
        }
        boolean mayBeTested =
                mQuarantine.isInDoubt(parts)
                        || !mQuarantine.partsDueForTrial(parts, nowMillis).isEmpty();
        return mayBeTested ? PromptVerdict.IN_DOUBT : PromptVerdict.QUARANTINED;
    }

    /**
     * Waits for the verdict on a request that is in doubt.
     *
     * @param parts identifiers of the parts of its prompt; must not change
     * @param limitMillis maximum time to wait
     * @param outcome receives the verdict once, later, unless the wait is cancelled; {@link
     *     PromptVerdict#IN_DOUBT} if it is not known in time
     */
    public Wait awaitVerdict(
            Collection<String> parts,
            long nowMillis,
            long limitMillis,
            Consumer<PromptVerdict> outcome) {
        boolean isFull = mWaiting.size() >= MAXIMUM_WAITING;
        WaitingRequest request =
                new WaitingRequest(
                        parts,
                        mQuarantine.quarantinedAmong(parts),
                        isFull ? nowMillis : nowMillis + limitMillis,
                        outcome);
        mWaiting.add(request);
        advance(nowMillis);
        return () -> mWaiting.remove(request);
    }

    /** Ends the waits that are over, and starts a trial that is due; several times a second. */
    public void tick(long nowMillis) {
        advance(nowMillis);
    }

    /** Returns the number of requests that wait for a verdict. */
    public int waitingRequests() {
        return mWaiting.size();
    }

    private void advance(long nowMillis) {
        mNowMillis = Math.max(mNowMillis, nowMillis);
        // A prompt may have thousands of parts, so that all are looked up only if need be.
        boolean isUnchanged = mCheckedVersion == mQuarantine.verdictVersion();
        mCheckedVersion = mQuarantine.verdictVersion();
        for (WaitingRequest request : new ArrayList<>(mWaiting)) {
            PromptVerdict verdict =
                    isUnchanged ? PromptVerdict.IN_DOUBT : verdict(request.mParts, mNowMillis);
            if (verdict != PromptVerdict.IN_DOUBT || mNowMillis >= request.mDeadlineMillis) {
                end(request, verdict);
            } else if (!isUnchanged) {
                request.mQuarantined = mQuarantine.quarantinedAmong(request.mParts);
            }
        }
        if (!mWaiting.isEmpty() && !mClaiming && mNowMillis >= mNextClaimMillis) {
            claimTrialOrRead();
        }
    }

    private void end(WaitingRequest request, PromptVerdict verdict) {
        if (mWaiting.remove(request)) {
            request.mOutcome.accept(verdict);
        }
    }

    private void claimTrialOrRead() {
        for (WaitingRequest request : mWaiting) {
            Set<String> due = mQuarantine.partsDueForTrial(request.mQuarantined, mNowMillis);
            if (!due.isEmpty()) {
                claimTrial(request, due);
                return;
            }
        }
        if (mNowMillis >= mNextReadMillis) {
            mNextReadMillis = mNowMillis + READ_INTERVAL_MILLIS;
            mPublisher.requestRead();
        }
    }

    private void claimTrial(WaitingRequest request, Set<String> parts) {
        mClaiming = true;
        mTrials++;
        String trial = mIncarnation + "/" + mTrials;
        mPublisher
                .claimTrial(parts, trial, () -> isStillDue(request, parts))
                .thenAccept(isClaimed -> onClaimed(request, parts, trial, isClaimed));
    }

    private boolean isStillDue(WaitingRequest request, Set<String> parts) {
        return mQuarantine.partsDueForTrial(request.mParts, mNowMillis).equals(parts);
    }

    private void onClaimed(
            WaitingRequest request, Set<String> parts, String trial, boolean isClaimed) {
        mClaiming = false;
        mNextClaimMillis = mNowMillis + CLAIM_INTERVAL_MILLIS;
        if (isClaimed) {
            parts.forEach(part -> mQuarantine.announceTrial(part, trial, mNowMillis));
            Optional<WaitingRequest> tester = tester(request, parts);
            EventLog.write(
                    "quarantine",
                    "trial.claimed",
                    "trial",
                    trial,
                    "parts",
                    EventLog.join(parts),
                    "used",
                    tester.isPresent());
            tester.ifPresent(found -> end(found, PromptVerdict.TRIAL));
        }
        advance(mNowMillis);
    }

    /** Returns the request that is to be the trial, if its caller is there, or one like it. */
    private Optional<WaitingRequest> tester(WaitingRequest request, Set<String> parts) {
        return mWaiting.contains(request)
                ? Optional.of(request)
                : mWaiting.stream().filter(each -> each.mQuarantined.equals(parts)).findFirst();
    }

    /** Returns whether no part is suspected of crashing engines. */
    public boolean isSound(List<String> parts) {
        return mQuarantine.verdict(parts) == PromptVerdict.SOUND;
    }

    /** Returns whether none of the parts can be to blame for a crash at this time. */
    public boolean areAboveSuspicion(List<String> parts, long nowMillis) {
        return mQuarantine.areRecentlyAnswered(parts, nowMillis);
    }

    /** Records that an engine crashed while it was about to answer a request. */
    public void recordCrash(Endpoint engine, List<String> parts, long nowMillis) {
        String incarnation = engine.name() + "@" + engine.startMillis();
        publishIfChanged(
                () -> mQuarantine.recordCrash(incarnation, parts, nowMillis),
                Optional.of(engine.name()));
        EventLog.write(
                "quarantine",
                "engine.crashed",
                "engine",
                incarnation,
                "parts",
                EventLog.join(parts),
                "verdict",
                mQuarantine.verdict(parts));
        advance(nowMillis);
    }

    /** Records that an engine has answered a request and survived it. */
    public void recordAnswer(List<String> parts, long nowMillis) {
        publishIfChanged(() -> mQuarantine.recordAnswer(parts, nowMillis), Optional.empty());
        advance(nowMillis);
    }

    private void publishIfChanged(Runnable observation, Optional<String> crashedEngine) {
        long revision = mQuarantine.revision();
        observation.run();
        if (mQuarantine.revision() != revision) {
            mPublisher.publish(crashedEngine);
        }
    }

    /** The wait of a request for its verdict. */
    @FunctionalInterface
    public interface Wait {
        /** A wait that is over. */
        Wait NONE = () -> {};

        /** Ends the wait without a verdict. */
        void cancel();
    }

    /** A request that waits; each is different from all others. */
    private static final class WaitingRequest {
        private final Collection<String> mParts;
        private final long mDeadlineMillis;
        private final Consumer<PromptVerdict> mOutcome;
        private Set<String> mQuarantined;

        WaitingRequest(
                Collection<String> parts,
                Set<String> quarantined,
                long deadlineMillis,
                Consumer<PromptVerdict> outcome) {
            mParts = parts;
            mQuarantined = quarantined;
            mDeadlineMillis = deadlineMillis;
            mOutcome = outcome;
        }
    }
}
