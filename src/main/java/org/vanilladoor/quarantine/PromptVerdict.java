package org.vanilladoor.quarantine;

/**
 * Whether the parts of a prompt may be sent to an engine.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum PromptVerdict {
    /** No part is suspected. */
    SOUND,
    /**
     * A part was in use when an engine crashed; a request that has just lost its engine is not
     * worth another one.
     */
    SUSPECT,
    /** A part is quarantined, and this request tests whether it still crashes engines. */
    TRIAL,
    /**
     * A part is quarantined, but may be held back for the crashes of another part, which is not in
     * the prompt; whether the request may be sent will be known soon.
     */
    IN_DOUBT,
    /** A part has crashed several engines; the request must not reach any engine. */
    QUARANTINED
}
