package org.vanilladoor.configuration;

/**
 * The kinds of work that classes are made of, with what follows from each.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum WorkKind {
    /** A reply that a person waits for. */
    INTERACTIVE(true, 0),
    /** The reading of a long document. */
    READING(true, 2),
    /** A purchase or print that may not be repeated. */
    ONCE(false, 0),
    /** A stored lookup. */
    LOOKUP(false, 1);

    private final boolean mModelWork;
    private final int mEnginePriority;

    WorkKind(boolean modelWork, int enginePriority) {
        mModelWork = modelWork;
        mEnginePriority = enginePriority;
    }

    /** Returns whether model engines do this work, rather than plain services. */
    public boolean isModelWork() {
        return mModelWork;
    }

    /** Returns the priority told to an engine, 0 being served first. */
    public int enginePriority() {
        return mEnginePriority;
    }

    /** Returns whether a request may be sent to a second endpoint after one may have run it. */
    public boolean isRetryable() {
        return this != ONCE;
    }
}
