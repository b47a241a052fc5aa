package org.vanilladoor.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.TeamEntry;
import org.vanilladoor.transport.FrontExchange;

/**
 * Sees one request to its answer: waits for room, has the prompt read, runs it, passes the answer
 * on.
 *
 * <p>Invariants: one answer is given; a request that may not run twice is sent again only if its
 * endpoint said that it has not run, or nothing of it was sent; a refusal that lets the caller come
 * back is given only if no endpoint can run the request any more. Belongs to the control thread.
 */
final class RequestProcess {
    /** Prompts longer than this are read apart from generation, in tokens. */
    private static final long READ_APART_TOKENS = 600;

    /** Time to connect to an endpoint; within a region a connection takes a few milliseconds. */
    private static final long CONNECT_MILLIS = 300;

    /** Objectives after which a prompt that is still being read is read elsewhere. */
    private static final int READ_PATIENCE_OBJECTIVES = 5;

    /** Time that an answer needs beyond its endpoint's work, in milliseconds. */
    private static final long ANSWER_MILLIS = 30;

    /** Longest time after which a caller is told to come back; lines are shorter than that. */
    private static final long MOST_RETRY_MILLIS = 5_000;

    private static final int LOWEST_URGENCY = 9;
    private final GatewayContext mContext;
    private final FrontExchange mExchange;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final Optional<TeamEntry> mTeam;
    private final String mService;
    private final long mArrivedMillis = MonotonicClock.nowMillis();
    private final long mDeadlineMillis;
    private final RequestLog mLog;
    private final CallBudget mBudget;
    private final Set<String> mExcluded = new HashSet<>();
    private final EventAssembler mEvents = EventAssembler.create();
    private Runnable mOnEnd = () -> {};
    private WaitingLine.Waiting mWaiting;
    private EndpointExchange mCall;
    private Optional<KvCacheReference> mMemory = Optional.empty();
    private int mRan;
    private boolean mMayHaveRun;
    private boolean mReading;
    private boolean mReadDirectly;
    private boolean mStreaming;
    private boolean mDone;

    private RequestProcess(
            GatewayContext context,
            FrontExchange exchange,
            CallerRequest request,
            Route route,
            Optional<TeamEntry> team) {
        mContext = context;
        mExchange = exchange;
        mRequest = request;
        mLog = new RequestLog(request.identifier());
        mRoute = route;
        mTeam = team;
        mService = route.service(context.random().nextDouble());
        mBudget = new CallBudget(context, mService);
        mDeadlineMillis =
                mArrivedMillis + Math.min(route.timeoutMillis(), request.callerTimeoutMillis());
    }

    static RequestProcess create(
            GatewayContext context,
            FrontExchange exchange,
            CallerRequest request,
            Route route,
            Optional<TeamEntry> team) {
        return new RequestProcess(context, exchange, request, route, team);
    }

    /** Gives a refusal as the answer. */
    static void answer(
            GatewayContext context, FrontExchange exchange, Refusal refusal, long retryMillis) {
        exchange.respond(
                closing(context, context.wire().encodeRefusal(refusal, retryMillis)), new byte[0]);
    }

    /** Begins; the action runs once the request has its answer or its caller has left. */
    void start(Runnable onEnd) {
        mOnEnd = onEnd;
        long now = MonotonicClock.nowMillis();
        mContext.retries().of(mService).firstTry(now);
        mExchange.onGone(this::callerLeft);
        mContext.control()
                .delay(Duration.ofMillis(Math.max(0, mDeadlineMillis - now)), this::timeOut);
        proceed();
    }

    /** Takes the next step towards a run. */
    private void proceed() {
        if (mDone) {
            return;
        }
        boolean apart = isReadApart();
        noteReading(apart);
        if (!apart) {
            run();
        } else if (!readPrompt()) {
            waitForRoom();
        }
    }

    private void noteReading(boolean reading) {
        if (reading != mReading) {
            mReading = reading;
            mContext.work().adjustPrefills(mService, reading ? 1 : -1);
        }
    }

    private boolean isReadApart() {
        long tokens = mRequest.prompt().map(PromptMetadata::promptTokens).orElse(0L);
        return mMemory.isEmpty()
                && !mReadDirectly
                && tokens > READ_APART_TOKENS
                && mContext.placement().hasReaders(mService, mExcluded);
    }

    private void waitForRoom() {
        if (mWaiting != null) {
            return;
        }
        long latest = mDeadlineMillis - ANSWER_MILLIS - mRoute.objectiveMillis() / 2;
        long now = MonotonicClock.nowMillis();
        if (now >= latest) {
            refuseWithoutRun(Refusal.OVERLOADED, "no engine has room to read the prompt in time");
            return;
        }
        mWaiting =
                line().add(
                                rank(),
                                mArrivedMillis + mRoute.objectiveMillis(),
                                latest,
                                new LineAttempt());
    }

    private WaitingLine line() {
        return mContext.lines().of(mService);
    }

    private boolean readPrompt() {
        long now = MonotonicClock.nowMillis();
        String affinity = mRequest.prompt().map(PromptMetadata::affinityKey).orElse("");
        Optional<Endpoint> reader = mContext.placement().reader(mService, affinity, mExcluded, now);
        if (reader.isEmpty()) {
            return false;
        }
        if (!mBudget.tryPayNext(now)) {
            mReadDirectly = true;
            proceed();
            return true;
        }
        line().left(now);
        send(reader.get(), EndpointCall.Stage.READ_PROMPT);
        EndpointExchange call = mCall;
        long patience = READ_PATIENCE_OBJECTIVES * mRoute.objectiveMillis();
        mContext.control().delay(Duration.ofMillis(patience), () -> readTooLong(call));
        return true;
    }

    private void readTooLong(EndpointExchange call) {
        if (!mDone && mCall == call) {
            call.abandon();
            mContext.placement().unreachable(call.endpoint(), MonotonicClock.nowMillis());
            tryElsewhere(call.endpoint(), "the prompt was not read in time");
        }
    }

    private void run() {
        long now = MonotonicClock.nowMillis();
        Optional<String> near = mMemory.map(memory -> memory.endpoint().failureDomain());
        Optional<Endpoint> runner = mContext.placement().runner(mService, near, mExcluded, now);
        if (runner.isEmpty()) {
            refuseWithoutRun(Refusal.NO_ENDPOINT, "no endpoint serves it");
            return;
        }
        if (!mBudget.tryPayNext(now)) {
            refuseWithoutRun(Refusal.NOT_RUN, "the budget for repeats is used up");
            return;
        }
        mEvents.dropPartial();
        send(runner.get(), EndpointCall.Stage.RUN);
    }

    private void send(Endpoint endpoint, EndpointCall.Stage stage) {
        mBudget.sent();
        long now = MonotonicClock.nowMillis();
        EndpointCall call =
                new EndpointCall(
                        endpoint,
                        stage,
                        Math.max(1, mDeadlineMillis - now),
                        mTeam.map(TeamEntry::name),
                        rank(),
                        stage == EndpointCall.Stage.RUN ? mMemory : Optional.empty(),
                        mEvents.lastIdentifier().or(mRequest::lastEventIdentifier));
        mLog.sent(stage, endpoint, mBudget.calls(), now - mArrivedMillis);
        if (stage == EndpointCall.Stage.RUN) {
            mMemory = Optional.empty();
        }
        mCall =
                EndpointExchange.send(
                        mContext,
                        mRequest,
                        call,
                        CONNECT_MILLIS,
                        new CallHandler(mContext, this, stage));
    }

    private int rank() {
        int rank = mTeam.map(team -> team.rank().orElse(mRoute.rank())).orElse(mRoute.rank());
        return Math.max(0, Math.min(LOWEST_URGENCY, rank));
    }

    void tryElsewhere(Endpoint endpoint, String reason) {
        mCall = null;
        mExcluded.add(endpoint.name());
        mLog.elsewhere(endpoint, reason);
        if (MonotonicClock.nowMillis() + ANSWER_MILLIS >= mDeadlineMillis
                || mBudget.isExhausted()) {
            refuseWithoutRun(Refusal.NOT_RUN, reason);
        } else {
            proceed();
        }
    }

    /** Answers a failure: as the refusal if no endpoint may have run it, else as unknown. */
    void refuseWithoutRun(Refusal refusal, String reason) {
        if (mStreaming) {
            finish("cut", reason);
            mExchange.abort();
        } else {
            refuse(mMayHaveRun ? Refusal.OUTCOME_UNKNOWN : refusal, reason);
        }
    }

    void refuse(Refusal refusal, String reason) {
        mContext.metrics().refused(refusal);
        finish("refused." + refusal, reason);
        answer(mContext, mExchange, refusal, retryAfterMillis());
    }

    private long retryAfterMillis() {
        long drain = line().drainMillis(MonotonicClock.nowMillis());
        return Math.max(mRoute.objectiveMillis(), Math.min(drain, MOST_RETRY_MILLIS));
    }

    private void timeOut() {
        if (mDone) {
            return;
        }
        boolean routeEnds = mRoute.timeoutMillis() <= mRequest.callerTimeoutMillis();
        String reason = (routeEnds ? "the route's time" : "the caller's patience") + " is over";
        if (mCall != null) {
            // Only an abandoned call can't be sent any more while this decides.
            mCall.abandon();
            mMayHaveRun |= mCall.stage() == EndpointCall.Stage.RUN && mCall.isSent();
            mCall = null;
        }
        if (mStreaming) {
            finish("cut", reason);
            mExchange.abort();
        } else {
            refuse(mMayHaveRun ? Refusal.TIMED_OUT : Refusal.OVERLOADED, reason);
        }
    }

    private void callerLeft() {
        if (mDone) {
            return;
        }
        if (mCall != null) {
            mCall.abandon();
            mCall = null;
        }
        mContext.metrics().count("requests.abandoned");
        finish("abandoned", "the caller left");
    }

    void finish(String outcome, String reason) {
        mDone = true;
        noteReading(false);
        if (mWaiting != null) {
            line().remove(mWaiting);
            mWaiting = null;
        }
        mMemory.ifPresent(memory -> EndpointExchange.free(mContext, memory, CONNECT_MILLIS));
        mMemory = Optional.empty();
        long took = MonotonicClock.nowMillis() - mArrivedMillis;
        mContext.metrics().duration("requests.millis." + mRoute.kind(), took);
        mLog.ended(mRoute, outcome, mBudget.calls(), took, reason);
        mOnEnd.run();
        line().advance(MonotonicClock.nowMillis());
    }

    static HttpResponse closing(GatewayContext context, HttpResponse head) {
        if (context.state().isStopping()) {
            head.setHeader(HttpHeaders.CONNECTION, "close");
        }
        return head;
    }

    Route route() {
        return mRoute;
    }

    FrontExchange exchange() {
        return mExchange;
    }

    /** Returns the events that have come so far. */
    EventAssembler events() {
        return mEvents;
    }

    long arrivedMillis() {
        return mArrivedMillis;
    }

    /** Returns whether part of the answer is on its way to the caller. */
    boolean isStreaming() {
        return mStreaming;
    }

    void streamBegan() {
        mStreaming = true;
    }

    /** Ends the call that is going on and returns its endpoint. */
    Endpoint takeCall() {
        Endpoint endpoint = mCall.endpoint();
        mCall = null;
        return endpoint;
    }

    /** Notes that an endpoint may have run the request. */
    void mayHaveRun() {
        mMayHaveRun = true;
    }

    /** Counts an endpoint that may have run the request against the route's attempts. */
    void countRun() {
        mRan++;
    }

    /** Returns the calls made so far. */
    CallBudget budget() {
        return mBudget;
    }

    /** A stream that goes on elsewhere waits for no reading engine. */
    void readDirectlyIfStreaming() {
        mReadDirectly = mStreaming;
    }

    /** Goes on with a prompt that has been read. */
    void promptRead(KvCacheReference memory) {
        mBudget.readAccepted();
        mMemory = Optional.of(memory);
        proceed();
        line().advance(MonotonicClock.nowMillis());
    }

    boolean mayRunAgain() {
        return mRoute.mayRunAgain() && mRan < mRoute.attempts();
    }

    void began() {
        mTeam.ifPresent(team -> mContext.usage().countStartedRequest(team.name()));
    }

    /** The request while it waits for an engine. */
    private final class LineAttempt implements WaitingLine.Attempt {
        @Override
        public boolean tryNow() {
            if (mDone) {
                return true;
            }
            if (isReadApart() && !readPrompt()) {
                return false;
            }
            mWaiting = null;
            if (mCall == null && !mDone) {
                noteReading(false);
                run();
            }
            return true;
        }

        @Override
        public void giveUp(int ahead, long turnMillis) {
            mWaiting = null;
            if (!mDone) {
                refuseWithoutRun(
                        Refusal.OVERLOADED,
                        "an engine would have room to read the prompt in "
                                + turnMillis
                                + " ms, after "
                                + ahead
                                + " others");
            }
        }
    }
}
