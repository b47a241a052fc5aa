package org.vanilladoor.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;

/**
 * Replays generated requests of many VMs on simulated endpoints, each VM with a placement of its
 * own.
 *
 * <p>Endpoints differ in speed by a factor of 2 and at moments by a further factor of 2.5. Prefill
 * engines read one prompt after the other and keep shared prefixes; engines that run requests read
 * at half the speed. Time is simulated.
 */
final class CostReplay {
    private static final int VMS = 100;
    private static final long QUEUE_CHECK_MILLIS = 25;
    private static final double OBJECTIVE_MILLIS = 265;
    private static final double LONG_DEADLINE_MILLIS = 2_121;
    private static final long SHARED_TOKENS = 6_300;
    private static final long KV_TOKENS = 716_145;
    private static final double TOKENS_PER_MILLI = 220;
    private static final double FETCH_TOKENS_PER_MILLI = 600;
    private static final double STEP_MILLIS = 0.9;

    private final SplittableRandom mRandom;
    private final boolean mStatesFactor;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingDouble(Event::millis));
    private final EndpointDirectory mDirectory = EndpointDirectory.create();
    private final Map<String, Server> mServers = new HashMap<>();
    private final List<Placement> mVms = new ArrayList<>();
    private double mNowMillis = 1_000;
    private final CostReplayTally mLong = new CostReplayTally();
    private final CostReplayTally mPlain = new CostReplayTally();
    private final CostReplayTally mChats = new CostReplayTally();

    CostReplay(long seed, boolean statesFactor) {
        mRandom = new SplittableRandom(seed);
        mStatesFactor = statesFactor;
        for (int vm = 0; vm < VMS; vm++) {
            mVms.add(
                    Placement.create(
                            mDirectory,
                            "z" + vm % 3,
                            RequestLimits.create("vm" + vm, () -> VMS),
                            mRandom.split()));
        }
    }

    CostReplayTally longPrompts() {
        return mLong;
    }

    CostReplayTally plainRequests() {
        return mPlain;
    }

    CostReplayTally chats() {
        return mChats;
    }

    /** Returns the busiest prefill engine's work against the mean. */
    double prefillImbalance() {
        double[] busy =
                mServers.values().stream()
                        .filter(server -> server.mEndpoint.role() == EngineRole.PREFILL)
                        .mapToDouble(server -> server.mPromptTokens)
                        .toArray();
        double sum = 0;
        double most = 0;
        for (double each : busy) {
            sum += each;
            most = Math.max(most, each);
        }
        return most * busy.length / sum;
    }

    double cachedPart() {
        return sumOfReaders(server -> server.mCached) / sumOfReaders(server -> server.mPrompts);
    }

    /** Returns the part of the long prompts that prefill engines read. */
    double separatePart() {
        return sumOfReaders(server -> server.mPrompts) / mLong.served();
    }

    private double sumOfReaders(ToDoubleFunction<Server> figure) {
        return mServers.values().stream()
                .filter(server -> server.mEndpoint.role() == EngineRole.PREFILL)
                .mapToDouble(figure)
                .sum();
    }

    void addServers(String service, int count, int slots, EngineRole role) {
        for (int index = 0; index < count; index++) {
            Endpoint endpoint =
                    new Endpoint(
                            service + "-" + role + index,
                            service,
                            new HostPort("127.0.0.1", 1),
                            "z" + index % 3,
                            slots,
                            false,
                            role,
                            false,
                            false,
                            1);
            mDirectory.put(endpoint);
            mServers.put(endpoint.name(), new Server(endpoint));
        }
    }

    void run(double millis, double plainPerSecond, double longPerSecond, double chatsPerSecond) {
        double end = mNowMillis + millis;
        arrivals(plainPerSecond, end, this::startPlain);
        arrivals(longPerSecond, end, this::startLong);
        arrivals(chatsPerSecond, end, this::startChat);
        mServers.values().forEach(server -> changeSpeed(server, end));
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNowMillis = event.millis();
            event.action().run();
        }
    }

    private void arrivals(double perSecond, double end, Runnable start) {
        if (perSecond > 0) {
            double gap = -Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond;
            if (mNowMillis + gap < end) {
                after(
                        gap,
                        () -> {
                            start.run();
                            arrivals(perSecond, end, start);
                        });
            }
        }
    }

    private void changeSpeed(Server server, double end) {
        server.mMoment = mRandom.nextInt(4) == 0 ? 2.5 : 1;
        if (mNowMillis < end) {
            after(50 + mRandom.nextInt(300), () -> changeSpeed(server, end));
        }
    }

    private void after(double millis, Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, action));
    }

    private long now() {
        return (long) mNowMillis;
    }

    private void startPlain() {
        Placement vm = mVms.get(mRandom.nextInt(VMS));
        RequestProfile request = RequestProfile.plain("plain", "r");
        Endpoint endpoint =
                vm.chooseEndpoint(request, WorkPhase.RUN, Optional.empty(), Set.of(), now())
                        .orElseThrow();
        double work = 45 * Math.exp(0.7 * gaussian());
        double started = mNowMillis;
        call(
                vm,
                request,
                endpoint,
                WorkPhase.RUN,
                Optional.empty(),
                new Work(0, work, 0),
                () -> mPlain.add(mNowMillis - started, 147));
    }

    private void startChat() {
        Placement vm = mVms.get(mRandom.nextInt(VMS));
        RequestProfile request =
                new RequestProfile(
                        "model", "chat", "c", 220, 79, 72, OptionalDouble.of(60), KV_TOKENS);
        double started = mNowMillis;
        vm.chooseEndpoint(request, WorkPhase.RUN, Optional.empty(), Set.of(), now())
                .ifPresentOrElse(
                        endpoint ->
                                call(
                                        vm,
                                        request,
                                        endpoint,
                                        WorkPhase.RUN,
                                        Optional.empty(),
                                        new Work(220, 72 * STEP_MILLIS, 72),
                                        () -> mChats.add(mNowMillis - started, 606)),
                        mChats::addRefused);
    }

    private void startLong() {
        double popularity = mRandom.nextDouble();
        int prefix = (int) (80 * popularity * popularity);
        long own = (long) Math.min(33_000, 2_000 * Math.exp(0.9 * gaussian()));
        RequestProfile request =
                new RequestProfile(
                        "model",
                        "long",
                        "m/" + prefix,
                        SHARED_TOKENS + own,
                        SHARED_TOKENS,
                        2,
                        OptionalDouble.empty(),
                        KV_TOKENS);
        tryLong(mVms.get(mRandom.nextInt(VMS)), request, mNowMillis);
    }

    private void tryLong(Placement vm, RequestProfile request, double started) {
        if (mNowMillis > started + LONG_DEADLINE_MILLIS - 30 - OBJECTIVE_MILLIS / 2) {
            mLong.addRefused();
            return;
        }
        if (vm.isOwnPrefillSooner(request, Set.of(), now())) {
            runLong(vm, request, started, Optional.empty());
            return;
        }
        Optional<Endpoint> engine =
                vm.choosePrefillEngine(request, OBJECTIVE_MILLIS / 2, Set.of(), now());
        if (engine.isEmpty()) {
            after(QUEUE_CHECK_MILLIS, () -> tryLong(vm, request, started));
            return;
        }
        call(
                vm,
                request,
                engine.get(),
                WorkPhase.PREFILL,
                Optional.empty(),
                new Work(request.promptTokens(), 0, 0),
                () -> runLong(vm, request, started, Optional.of(engine.get().failureDomain())));
    }

    private void runLong(
            Placement vm, RequestProfile request, double started, Optional<String> cacheDomain) {
        WorkPhase phase = cacheDomain.isPresent() ? WorkPhase.RUN_WITH_CACHE : WorkPhase.RUN;
        Optional<Endpoint> engine = vm.chooseEndpoint(request, phase, cacheDomain, Set.of(), now());
        if (engine.isEmpty()) {
            mLong.addRefused();
            return;
        }
        boolean hasCache = cacheDomain.isPresent();
        call(
                vm,
                request,
                engine.get(),
                phase,
                cacheDomain,
                hasCache
                        ? new Work(0, request.promptTokens() / FETCH_TOKENS_PER_MILLI, 2)
                        : new Work(request.promptTokens(), 0, 2),
                () -> mLong.add(mNowMillis - started, OBJECTIVE_MILLIS));
    }

    private void call(
            Placement vm,
            RequestProfile request,
            Endpoint endpoint,
            WorkPhase phase,
            Optional<String> cacheDomain,
            Work work,
            Runnable onEnd) {
        CallCost cost = vm.openCall(request, endpoint, phase, cacheDomain, now());
        vm.recordStart(endpoint);
        Server server = mServers.get(endpoint.name());
        Job job =
                new Job(
                        request,
                        work.promptTokens(),
                        work.slotMillis(),
                        () -> {
                            vm.recordLoad(endpoint, server.load(), now());
                            if (work.events() > 0) {
                                cost.recordEvents(work.events(), now());
                            }
                            cost.recordResponse(now());
                            cost.end();
                            vm.recordEnd(endpoint);
                            onEnd.run();
                        });
        after(1, () -> server.add(job));
    }

    private double gaussian() {
        double sum = -6;
        for (int index = 0; index < 12; index++) {
            sum += mRandom.nextDouble();
        }
        return sum;
    }

    /** An endpoint: prompts one after the other, then work in slots. */
    private final class Server {
        private final Endpoint mEndpoint;
        private final double mSpeed = 1 + mRandom.nextDouble();
        private final Deque<Job> mPromptQueue = new ArrayDeque<>();
        private final Deque<Job> mSlotQueue = new ArrayDeque<>();
        private final Map<String, Long> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
        private double mMoment = 1;
        private int mRunning;
        private boolean mReading;
        private double mPromptTokens;
        private double mPrompts;
        private double mCached;

        Server(Endpoint endpoint) {
            mEndpoint = endpoint;
        }

        LoadSample load() {
            int running = mRunning + (mReading ? 1 : 0);
            int waiting = mPromptQueue.size() + mSlotQueue.size();
            return mStatesFactor
                    ? new LoadSample(
                            running,
                            waiting,
                            mEndpoint.slots(),
                            OptionalDouble.of(mSpeed * mMoment))
                    : new LoadSample(running, waiting, mEndpoint.slots());
        }

        void add(Job job) {
            if (job.promptTokens() > 0) {
                mPromptQueue.add(job);
                readNext();
            } else {
                mSlotQueue.add(job);
                runNext();
            }
        }

        private void readNext() {
            if (mReading || mPromptQueue.isEmpty()) {
                return;
            }
            mReading = true;
            Job job = mPromptQueue.poll();
            long cached = cachedTokens(job);
            double tokens = Math.max(1, job.promptTokens() - cached);
            mPromptTokens += tokens;
            double speed = mEndpoint.role() == EngineRole.PREFILL ? 1 : 0.5;
            after(
                    tokens / (TOKENS_PER_MILLI * speed) * mSpeed * mMoment,
                    () -> {
                        mReading = false;
                        mSlotQueue.add(job);
                        runNext();
                        readNext();
                    });
        }

        private long cachedTokens(Job job) {
            if (job.promptTokens() < SHARED_TOKENS) {
                return 0;
            }
            mPrompts++;
            boolean isCached = mPrefixes.put(job.request().prefixKey(), 1L) != null;
            // A third of the memory is left for requests.
            if (mPrefixes.size() > KV_TOKENS * 2 / 3 / SHARED_TOKENS) {
                mPrefixes.remove(mPrefixes.keySet().iterator().next());
            }
            mCached += isCached ? 1 : 0;
            return isCached ? SHARED_TOKENS : 0;
        }

        private void runNext() {
            while (mRunning < mEndpoint.slots() && !mSlotQueue.isEmpty()) {
                mRunning++;
                Job job = mSlotQueue.poll();
                after(
                        0.5 + job.slotMillis() * mSpeed * mMoment,
                        () -> {
                            mRunning--;
                            after(1, job.onEnd());
                            runNext();
                        });
            }
        }
    }

    /** The work of a call, and the events of its response. */
    private record Work(long promptTokens, double slotMillis, int events) {}

    /** Something that happens at a time. */
    private record Event(double millis, Runnable action) {}

    /** A call's work at an endpoint of normal speed. */
    private record Job(
            RequestProfile request, long promptTokens, double slotMillis, Runnable onEnd) {}

    /** Prints both choices for some loads. */
    public static void main(String[] arguments) {
        for (double factor : new double[] {0.7, 1, 1.3}) {
            for (boolean byCost : new boolean[] {false, true}) {
                double[] sums = new double[8];
                int seeds = 6;
                for (long seed = 1; seed <= seeds; seed++) {
                    CostReplay replay = new CostReplay(seed, byCost);
                    replay.addServers("plain", 3, 6, EngineRole.MIXED);
                    replay.addServers("model", 18, 16, EngineRole.PREFILL);
                    replay.addServers("model", 24, 16, EngineRole.DECODE);
                    replay.run(30_000, 100 * factor, 227 * factor, 15.6 * factor);
                    double[] figures = {
                        replay.mLong.onTimePart(),
                        replay.mLong.quantile(0.95),
                        replay.mLong.quantile(0.5),
                        replay.mPlain.onTimePart(),
                        replay.mChats.onTimePart(),
                        replay.prefillImbalance(),
                        replay.cachedPart(),
                        replay.separatePart()
                    };
                    for (int index = 0; index < figures.length; index++) {
                        sums[index] += figures[index] / seeds;
                    }
                }
                System.out.printf(
                        "load %.1f byCost %s: long %.3f on time, 95%% %.0f, median %.0f; plain"
                                + " %.3f; chat %.3f; imbalance %.2f, cached %.2f, separate %.2f%n",
                        factor, byCost, sums[0], sums[1], sums[2], sums[3], sums[4], sums[5],
                        sums[6], sums[7]);
            }
        }
    }
}
