package org.vanilladoor.configuration;

/**
 * Kinds of work. The kind of a class of work decides whether engines or plain services run its
 * requests, their priority, and whether they may be retried.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum WorkKind {
    /** Model work whose response a person is waiting for. */
    INTERACTIVE(true, 0),
    /** Model work on a long document. */
    READING(true, 2),
    /** A service request, such as a purchase or a print, that must not run more than once. */
    ONCE(false, 0),
    /** A service request that looks up stored data. */
    LOOKUP(false, 1);

    private final boolean mModelWork;
    private final int mEnginePriority;

    WorkKind(boolean modelWork, int enginePriority) {
        mModelWork = modelWork;
        mEnginePriority = enginePriority;
    }

    /** Returns whether model engines, rather than plain services, run this work. */
    public boolean isModelWork() {
        return mModelWork;
    }

    /** Returns the priority sent to engines; 0 is served first. */
    public int enginePriority() {
        return mEnginePriority;
    }

    /** Returns whether a request may be sent to another endpoint after one may have run it. */
    public boolean isRetryable() {
        return this != ONCE;
    }
}
