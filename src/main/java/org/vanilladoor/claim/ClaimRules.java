package org.vanilladoor.claim;

import java.util.Optional;

/**
 * The rules by which an attempt is claimed or closed.
 *
 * <p>The rules are the ones that an exhaustive search of the log found to hold: a refusal is said
 * only after its close record stands, and after a close only an attempt that came in with knowledge
 * of it may claim. Stateless and safe for use by any thread.
 */
enum ClaimRules {
    /** The attempt wants to run. */
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
            boolean knewOfClose = attempt.knownPosition() > state.position();
            return Step.append(knewOfClose ? ClaimRecord.Kind.CLAIM : ClaimRecord.Kind.CLOSE);
        }
    },
    /** The attempt, which holds no claim, is to be refused. */
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

    /** Returns what is to be done about an attempt, given the last record of its key. */
    abstract Step decide(Attempt attempt, Optional<ClaimIndex.State> last);

    /** Either an outcome or the record that brings it about. */
    record Step(Optional<ClaimOutcome> outcome, Optional<ClaimRecord.Kind> append) {
        static Step settled(ClaimOutcome outcome) {
            return new Step(Optional.of(outcome), Optional.empty());
        }

        static Step append(ClaimRecord.Kind kind) {
            return new Step(Optional.empty(), Optional.of(kind));
        }
    }
}
