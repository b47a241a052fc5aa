package org.vanilladoor.http;

/**
 * Ends the handling of a request with a problem document.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ProblemException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient Problem mProblem;

    /** Creates an exception that makes the server respond with the given problem. */
    public ProblemException(Problem problem) {
        super(problem.detail());
        mProblem = problem;
    }

    /** Returns the problem document to send. */
    public Problem problem() {
        return mProblem;
    }
}
