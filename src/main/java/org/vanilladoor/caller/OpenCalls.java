package org.vanilladoor.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.key.KeyRing;

/**
 * The calls that are open at this process.
 *
 * <p>Invariant: a call whose key is withdrawn is closed, and stays known as closed until it ends.
 * Safe for use by any thread.
 */
public final class OpenCalls {
    private final Map<String, OpenCall> mCalls = new ConcurrentHashMap<>();

    private OpenCalls() {}

    /** Returns a set without calls. */
    public static OpenCalls create() {
        return new OpenCalls();
    }

    /**
     * Begins a call.
     *
     * @param onEnd learns at the end whether the call was answered whole
     */
    void begin(String identifier, Caller caller, Consumer<Boolean> onEnd) {
        mCalls.put(identifier, new OpenCall(caller, onEnd));
    }

    /** Names the answer that is being read for a call, to be closed if the call is ended. */
    void attach(String identifier, HttpClientResponse reply) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.attach(reply);
        }
    }

    /** Notes that a call was answered whole. */
    void answered(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.mAnswered = true;
        }
    }

    /** Keeps a call open beyond its handler, until {@link #release}. */
    void keep(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null) {
            call.mKept = true;
        }
    }

    /** Ends a call that was kept open. */
    void release(String identifier) {
        OpenCall call = mCalls.remove(identifier);
        if (call != null) {
            call.mOnEnd.accept(call.mAnswered);
        }
    }

    /** Ends a call unless it was kept open. */
    void end(String identifier) {
        OpenCall call = mCalls.get(identifier);
        if (call != null && !call.mKept) {
            release(identifier);
        }
    }

    /** Returns whether a call was ended from this side. */
    boolean isEnded(String identifier) {
        OpenCall call = mCalls.get(identifier);
        return call != null && call.mEnded;
    }

    /** Returns how many calls are open. */
    public int size() {
        return mCalls.size();
    }

    /** Ends the calls whose key no longer works. */
    public void abortCallsOfWithdrawnKeys(KeyRing keys) {
        for (OpenCall call : mCalls.values()) {
            String key = call.mCaller.keyIdentifier();
            if (!key.isEmpty() && !keys.isValid(key)) {
                call.endNow();
            }
        }
    }

    /** A call with the answer that is being read, if there is one. */
    private static final class OpenCall {
        private final Caller mCaller;
        private final Consumer<Boolean> mOnEnd;
        private volatile boolean mKept;
        private volatile boolean mAnswered;
        private volatile boolean mEnded;
        private HttpClientResponse mReply;

        OpenCall(Caller caller, Consumer<Boolean> onEnd) {
            mCaller = caller;
            mOnEnd = onEnd;
        }

        synchronized void attach(HttpClientResponse reply) {
            mReply = reply;
            if (mEnded) {
                reply.close();
            }
        }

        synchronized void endNow() {
            mEnded = true;
            if (mReply != null) {
                mReply.close();
            }
        }
    }
}
