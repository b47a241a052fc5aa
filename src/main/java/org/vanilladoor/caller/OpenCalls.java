package org.vanilladoor.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.key.KeyRing;

/**
 * The calls that this process is handling.
 *
 * <p>Invariant: a call aborted because its key was withdrawn stays marked as aborted until it ends.
 * Safe for use by any thread.
 */
public final class OpenCalls {
    private final Map<String, OpenCall> mCalls = new ConcurrentHashMap<>();

    private OpenCalls() {}

    /** Returns an empty set of calls. */
    public static OpenCalls create() {
        return new OpenCalls();
    }

    /**
     * Adds a call.
     *
     * @param onEnd receives, when the call ends, whether it was completed
     */
    void add(String identifier, Caller caller, Consumer<Boolean> onEnd) {
        mCalls.put(identifier, new OpenCall(caller, onEnd));
    }

    /** Attaches the response that is being read for a call, to be closed if the call is aborted. */
    void attachResponse(String identifier, HttpClientResponse response) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.attachResponse(response);
        }
    }

    /** Marks a call whose response was received completely. */
    void markCompleted(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.mCompleted = true;
        }
    }

    /** Keeps a call open after its handler has returned, until {@link #release}. */
    void keepOpen(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.mKeptOpen = true;
        }
    }

    /** Removes a call and reports whether it was completed. */
    void release(String identifier) {
        OpenCall call = mCalls.remove(identifier);
        if (call != null) {
            call.mOnEnd.accept(call.mCompleted);
        }
    }

    /** Removes a call unless it was kept open. */
    void endUnlessKeptOpen(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null && !call.mKeptOpen) {
            release(identifier);
        }
    }

    /** Returns whether a call was aborted because its key was withdrawn. */
    boolean isAborted(String identifier) {
        OpenCall call = mCalls.get(identifier);
        return call != null && call.mAborted;
    }

    /** Returns the number of open calls. */
    public int size() {
        return mCalls.size();
    }

    /** Aborts the calls whose key is no longer valid. */
    public void abortCallsOfWithdrawnKeys(KeyRing keys) {
        for (OpenCall call : mCalls.values()) {
            String key = call.mCaller.keyIdentifier();
            if (!key.isEmpty() && !keys.isValid(key)) {
                call.abort();
            }
        }
    }

    /** A call with the response that is being read, if any. */
    private static final class OpenCall {
        private final Caller mCaller;
        private final Consumer<Boolean> mOnEnd;
        private volatile boolean mKeptOpen;
        private volatile boolean mCompleted;
        private volatile boolean mAborted;
        private HttpClientResponse mResponse;

        OpenCall(Caller caller, Consumer<Boolean> onEnd) {
            mCaller = caller;
            mOnEnd = onEnd;
        }

        synchronized void attachResponse(HttpClientResponse response) {
            mResponse = response;
            if (mAborted) {
                response.close();
            }
        }

        synchronized void abort() {
            mAborted = true;
            if (mResponse != null) {
                mResponse.close();
            }
        }
    }
}
