package org.vanilladoor.common;

import java.util.Optional;

/**
 * Runs steps that must all run, whatever becomes of the others, and keeps the first failure.
 *
 * <p>Invariant: a step that fails does not prevent a later one. Not safe for use by several
 * threads.
 */
public final class FailureCollector {
    private Throwable mFirst;

    private FailureCollector() {}

    /** Returns a collector without failures. */
    public static FailureCollector create() {
        return new FailureCollector();
    }

    /** Runs all steps, and then throws the first failure, if there is one. */
    public static void runAll(Runnable... steps) {
        FailureCollector collector = create();
        for (Runnable step : steps) {
            collector.run(step);
        }
        collector.rethrow();
    }

    /** Runs a step; a failure after the first one is added to it as suppressed. */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            if (mFirst == null) {
                mFirst = e;
            } else if (mFirst != e) {
                mFirst.addSuppressed(e);
            }
        }
    }

    /** Returns the first failure, with the later ones as suppressed. */
    public Optional<Throwable> failure() {
        return Optional.ofNullable(mFirst);
    }

    /** Throws the first failure, if there is one. */
    public void rethrow() {
        if (mFirst instanceof Error error) {
            throw error;
        }
        if (mFirst != null) {
            throw (RuntimeException) mFirst;
        }
    }
}
