package org.vanilladoor.common;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when an input is invalid; carries all errors found in it.
 *
 * <p>Invariant: holds at least one finding. Immutable and safe for use by any thread.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<Finding> mFindings;

    /**
     * Creates an exception whose message has one line per finding.
     *
     * @param findings all errors of the input, at least one
     */
    public InvalidInputException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        if (findings.isEmpty()) {
            throw new IllegalArgumentException("findings is empty");
        }
        mFindings = List.copyOf(findings);
    }

    /** Returns the findings, in the order in which they were given. */
    public List<Finding> findings() {
        return mFindings;
    }
}
