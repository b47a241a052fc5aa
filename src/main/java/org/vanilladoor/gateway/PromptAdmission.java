package org.vanilladoor.gateway;

import java.util.List;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.quarantine.PromptGuard;
import org.vanilladoor.quarantine.PromptVerdict;

/**
 * Whether the prompt of one request may be sent to an engine.
 *
 * <p>Invariant: a request that was admitted as a trial stays one until an engine may have run it.
 * Confined to the control thread.
 */
final class PromptAdmission {
    /** Maximum time for which the verdict on a prompt in doubt is awaited. */
    private static final long MAXIMUM_DOUBT_MILLIS = 1_000;

    private final GatewayContext mContext;
    private final RequestLog mLog;
    private final RequestProgress mProgress;
    private final List<String> mSharedParts;
    private boolean mIsTrial;
    private PromptGuard.Wait mWait = PromptGuard.Wait.NONE;

    private PromptAdmission(
            GatewayContext context,
            RequestLog log,
            RequestProgress progress,
            List<String> sharedParts) {
        mContext = context;
        mLog = log;
        mProgress = progress;
        mSharedParts = sharedParts;
    }

    static PromptAdmission create(
            GatewayContext context,
            RequestLog log,
            RequestProgress progress,
            List<String> sharedParts) {
        return new PromptAdmission(context, log, progress, sharedParts);
    }

    /** Returns the verdict at this time; it can be awaited if it is in doubt. */
    PromptVerdict verdict() {
        if (mIsTrial && !mProgress.mayHaveRun()) {
            return PromptVerdict.TRIAL;
        }
        PromptVerdict verdict =
                mContext.promptGuard().verdict(mSharedParts, MonotonicClock.nowMillis());
        // Nothing is certain to be told in time to a request that may have run.
        return verdict == PromptVerdict.IN_DOUBT && mProgress.mayHaveRun()
                ? PromptVerdict.QUARANTINED
                : verdict;
    }

    /**
     * Waits for the verdict.
     *
     * @param onSettled runs when {@link #verdict} is no longer in doubt
     * @param onUnknown runs when the verdict is not known in time
     */
    void await(Runnable onSettled, Runnable onUnknown) {
        mLog.writeInDoubt(mSharedParts);
        mContext.metrics().count("requests.in_doubt");
        long nowMillis = MonotonicClock.nowMillis();
        long remainingMillis = mProgress.deadlineMillis() - nowMillis;
        mWait.cancel();
        mWait =
                mContext.promptGuard()
                        .awaitVerdict(
                                mSharedParts,
                                nowMillis,
                                Math.min(MAXIMUM_DOUBT_MILLIS, remainingMillis / 2),
                                verdict -> {
                                    mIsTrial |= verdict == PromptVerdict.TRIAL;
                                    (verdict == PromptVerdict.IN_DOUBT ? onUnknown : onSettled)
                                            .run();
                                });
    }

    /** Ends the wait, if there is one. */
    void cancelWait() {
        mWait.cancel();
    }
}
