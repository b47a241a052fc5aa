package org.vanilladoor.gateway;

import java.time.Duration;
import java.util.Optional;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.Route;

/**
 * The software version that the events of one request have to come from.
 *
 * <p>Invariants: a stream that may be taken up has exactly one version from its first event on,
 * which is recorded before its caller gets that event. A request that takes a stream up runs only
 * at the version that began the stream, and nowhere while that version is not known. A request for
 * anything else may run at any version. Confined to the control thread.
 */
final class StreamOrigin {
    /** Why a request is refused whose stream has no known version. */
    static final String UNKNOWN = "the version that began the stream is not known";

    /** Maximum length of the identifier of a stream that is kept; callers use 16 characters. */
    static final int MAXIMUM_IDENTIFIER_CHARACTERS = 256;

    private final GatewayContext mContext;
    private final RequestLog mLog;
    private final String mService;
    private final boolean mIsRestricted;
    private final boolean mIsTakenUp;

    /** Identifier of the attempt that brought the first event; empty if none can be kept. */
    private final String mStream;

    private Optional<String> mVersion = Optional.empty();
    private boolean mIsRecorded;
    private boolean mIsAwaited;
    private ControlLoop.Timer mTimeLimit = ControlLoop.Timer.NONE;

    private StreamOrigin(
            GatewayContext context,
            RequestLog log,
            CallerRequest request,
            Route route,
            String service) {
        mContext = context;
        mLog = log;
        mService = service;
        mIsRestricted = route.isResumableStream();
        mIsTakenUp = mIsRestricted && request.lastEventIdentifier().isPresent();
        mStream =
                (mIsTakenUp ? request.resumedStream() : Optional.of(request.identifier()))
                        .filter(stream -> stream.length() <= MAXIMUM_IDENTIFIER_CHARACTERS)
                        .orElse("");
    }

    static StreamOrigin create(
            GatewayContext context,
            RequestLog log,
            CallerRequest request,
            Route route,
            String service) {
        return new StreamOrigin(context, log, request, route, service);
    }

    /**
     * Finds the version that began the stream, if the request takes one up.
     *
     * @param latestMillis time after which the version is of no use
     * @param onKnown runs when the request may go on
     * @param onUnknown runs if the version is not known, or not in time
     */
    void find(long latestMillis, Runnable onKnown, Runnable onUnknown) {
        if (!mIsTakenUp) {
            onKnown.run();
            return;
        }
        mIsAwaited = true;
        long timeoutMillis = Math.max(0, latestMillis - MonotonicClock.nowMillis());
        mTimeLimit =
                mContext.control()
                        .schedule(
                                Duration.ofMillis(timeoutMillis),
                                () ->
                                        settle(
                                                Optional.empty(),
                                                Knowledge.TOO_LATE,
                                                onKnown,
                                                onUnknown));
        mContext.streamOrigins()
                .find(mStream, mService)
                .exceptionally(
                        failure -> {
                            mLog.writeFailed(failure);
                            return Optional.empty();
                        })
                .thenAccept(
                        version ->
                                settle(
                                        version,
                                        version.isPresent() ? Knowledge.FOUND : Knowledge.NONE,
                                        onKnown,
                                        onUnknown));
    }

    private void settle(
            Optional<String> version, Knowledge knowledge, Runnable onKnown, Runnable onUnknown) {
        if (!mIsAwaited) {
            return;
        }
        cancelFind();
        mVersion = version;
        mLog.writeOrigin(mStream, version, knowledge);
        (version.isPresent() ? onKnown : onUnknown).run();
    }

    /** Stops waiting for the version, if the request does. */
    void cancelFind() {
        mIsAwaited = false;
        mTimeLimit.cancel();
    }

    /** Returns whether the request may run at an endpoint now. */
    boolean mayRunAt(Endpoint endpoint) {
        return mayEverRunAt(endpoint)
                && (!mIsRestricted
                        || mVersion.isPresent()
                        || mContext.streamOrigins().mayBeginAt(mService, endpoint.version()));
    }

    /** Returns whether the request may run at an endpoint now or once streams may begin there. */
    boolean mayEverRunAt(Endpoint endpoint) {
        return mVersion.map(endpoint.version()::equals).orElse(!mIsTakenUp);
    }

    /** Returns why there may be no endpoint for the request. */
    String reasonWithoutEndpoint() {
        return mVersion.map("no endpoint of version %s serves"::formatted)
                .orElse("no endpoint is available for the request");
    }

    /**
     * Returns whether an endpoint that answers is the one that was chosen, as far as is known; its
     * name may have gone to a process of another version.
     */
    boolean isStillOfVersion(Endpoint chosen) {
        return !mIsRestricted || !mContext.placement().hasOtherVersion(chosen);
    }

    /**
     * Records the version of the endpoint that has sent an event, before the event is forwarded.
     */
    void recordEvent(Endpoint endpoint) {
        if (!mIsRestricted || mIsRecorded) {
            return;
        }
        mIsRecorded = true;
        if (mVersion.isEmpty()) {
            mVersion = Optional.of(endpoint.version());
            mLog.writeOrigin(mStream, mVersion, Knowledge.BEGUN);
        }
        if (!mStream.isEmpty()) {
            mContext.streamOrigins().recordBegun(mStream, mService, endpoint.version());
        }
    }

    /** How the version of a stream is known. */
    enum Knowledge {
        /** This request brought the first event. */
        BEGUN,
        /** It was recorded when the stream began. */
        FOUND,
        /** It is not known. */
        NONE,
        /** It was not found in time. */
        TOO_LATE
    }
}
