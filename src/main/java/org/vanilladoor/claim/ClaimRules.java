package org.vanilladoor.claim;

import java.util.Optional;

/**
 * The operations on the claim log, each with the rules that decide its result.
 *
 * <p>An exhaustive search of the log's states found that these two rules are safe: a caller is told
 * that an attempt has not run only after its close record is committed, and after a close record
 * only an attempt that was created with that record already known may claim the key. Stateless and
 * safe for use by any thread.
 */
enum ClaimRules {
    /** Claims the key for an attempt that is about to run. */
    CLAIM {
        @Override
        Step decide(Attempt attempt, Optional<ClaimIndex.State> last) {
            if (last.isEmpty()) {
                return Step.append(ClaimRecord.Kind.CLAIM);
            }
            ClaimIndex.State state = last.get();
            if (state.isBy(attempt)) {
                return Step.settled(
                        state.isClaim()
                                ? ClaimOutcome.granted(attempt.identifier())
                                : ClaimOutcome.closed());
            }
            if (!state.record().request().equals(attempt.request()) && state.isClaim()) {
                return Step.settled(ClaimOutcome.mismatch());
            }
            if (state.isClaim()) {
                return Step.settled(ClaimOutcome.taken(state.record().attempt()));
            }
            boolean closeWasKnown = attempt.knownPosition() > state.position();
            return Step.append(closeWasKnown ? ClaimRecord.Kind.CLAIM : ClaimRecord.Kind.CLOSE);
        }
    },
    /** Closes an attempt that was not sent to an endpoint, so that it never runs. */
    CLOSE {
        @Override
        Step decide(Attempt attempt, Optional<ClaimIndex.State> last) {
            if (last.isPresent() && last.get().isClaim() && !last.get().isBy(attempt)) {
                return Step.settled(ClaimOutcome.taken(last.get().record().attempt()));
            }
            if (last.isPresent() && last.get().isBy(attempt) && !last.get().isClaim()) {
                return Step.settled(ClaimOutcome.closed());
            }
            return Step.append(ClaimRecord.Kind.CLOSE);
        }
    };

    /** Returns the next step for an attempt, given the last record of its key. */
    abstract Step decide(Attempt attempt, Optional<ClaimIndex.State> last);

    /** Either a final outcome, or the kind of record to append before deciding again. */
    record Step(Optional<ClaimOutcome> outcome, Optional<ClaimRecord.Kind> append) {
        static Step settled(ClaimOutcome outcome) {
            return new Step(Optional.of(outcome), Optional.empty());
        }

        static Step append(ClaimRecord.Kind kind) {
            return new Step(Optional.empty(), Optional.of(kind));
        }
    }
}
