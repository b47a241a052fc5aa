package org.vanilladoor.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * VMs that admit requests of one team, and holders that grant them advances, in virtual time.
 *
 * <p>A VM can be suspended, killed, started, and cut off from the holders in either direction; its
 * messages can be delayed, repeated and so reordered. For a while after a change two holders grant.
 * Invariants: what happens depends only on the methods called; a VM's clock is off by at most 5 in
 * 1,000. Confined to one thread.
 */
final class SimulatedAllowances {
    static final long STEP_MILLIS = 10;
    static final String TEAM = "a";
    private static final long PUBLISH_MILLIS = 3_000;
    private static final long HOLDER_CHANGE_MILLIS = 3_000;
    private static final long TAKE_OVER_MILLIS = 4_500;
    private static final long GONE_MILLIS = 12_000;
    private static final long SPREAD_MILLIS = 4_000;
    private static final int CONFIGURATION_MILLIS = 3_000;

    private final AllowanceTolerance mTolerance;
    private final SplittableRandom mRandom = new SplittableRandom(7);
    private final List<SimulatedVm> mVms = new ArrayList<>();
    private final List<Holder> mHolders = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Deque<Long> mDeathMillis = new ArrayDeque<>();
    private final TeamUse mUse;
    private final List<String> mHistory = new ArrayList<>();
    private Allowance mAllowance;
    private long mNowMillis;
    private long mEventNumber;
    private long mTerm;
    private long mTakenMillis = -HOLDER_CHANGE_MILLIS;
    private long mHeldMillis;
    private int mPublishedCount;

    SimulatedAllowances(Allowance allowance, AllowanceTolerance tolerance, int vms, int living) {
        mAllowance = allowance;
        mTolerance = tolerance;
        mUse = new TeamUse(tolerance);
        mUse.setAllowance(allowance, 0);
        for (int i = 0; i < vms; i++) {
            mVms.add(new SimulatedVm(i));
        }
        mPublishedCount = living;
        mVms.subList(0, living).forEach(SimulatedVm::start);
        mVms.subList(0, living).forEach(vm -> vm.mAccount.setVmCount(living));
        takeOver(vm(0), 0, 0);
    }

    SimulatedVm vm(int index) {
        return mVms.get(index);
    }

    List<SimulatedVm> vms() {
        return mVms;
    }

    TeamUse use() {
        return mUse;
    }

    String history() {
        return String.join("\n", mHistory);
    }

    void advance(long millis) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
            mNowMillis += STEP_MILLIS;
            if (mNowMillis % PUBLISH_MILLIS == 0) {
                publishVmCount();
            }
            while (!mEvents.isEmpty() && mEvents.peek().mMillis <= mNowMillis) {
                mEvents.remove().mAction.run();
            }
            replaceLostHolder();
            mVms.forEach(SimulatedVm::step);
        }
    }

    /** Changes the limit; every process gets it within 3 s. */
    void setAllowance(Allowance allowance) {
        log("limit %s", allowance);
        mAllowance = allowance;
        mUse.setAllowance(allowance, mNowMillis);
        for (SimulatedVm vm : mVms) {
            int delayMillis = mRandom.nextInt(CONFIGURATION_MILLIS);
            at(mNowMillis + delayMillis, () -> vm.mAllowance = allowance);
        }
    }

    /** Lets another VM take the lease, while the previous holder goes on for a while. */
    void takeOver(SimulatedVm vm, long overlapMillis, long spreadMillis) {
        if (vm.mAccount == null || mNowMillis - mTakenMillis < HOLDER_CHANGE_MILLIS) {
            return;
        }
        mHolders.forEach(
                holder ->
                        holder.mEndMillis =
                                Math.min(holder.mEndMillis, mNowMillis + overlapMillis));
        mTerm++;
        mTakenMillis = mNowMillis;
        Holder holder = new Holder(vm, mTerm);
        mHolders.add(holder);
        log("vm-%d holds term %d, overlap %d", vm.mIndex, mTerm, overlapMillis);
        for (SimulatedVm other : mVms) {
            long delayMillis = spreadMillis > 0 ? mRandom.nextLong(spreadMillis) : 0;
            at(mNowMillis + delayMillis, () -> other.learnHolder(holder));
        }
    }

    private void replaceLostHolder() {
        boolean isHeld = mHolders.stream().anyMatch(Holder::isLiving);
        mHeldMillis = isHeld ? mNowMillis : mHeldMillis;
        if (mNowMillis - mHeldMillis >= TAKE_OVER_MILLIS) {
            mVms.stream()
                    .filter(vm -> vm.mAccount != null)
                    .findFirst()
                    .ifPresent(vm -> takeOver(vm, 0, SPREAD_MILLIS));
        }
    }

    private void publishVmCount() {
        mDeathMillis.removeIf(millis -> mNowMillis - millis > GONE_MILLIS);
        int living = (int) mVms.stream().filter(vm -> vm.mAccount != null).count();
        int count = living + mDeathMillis.size();
        mPublishedCount = count;
        for (SimulatedVm vm : mVms) {
            AllowanceAccount account = vm.mAccount;
            if (account != null) {
                at(mNowMillis + mRandom.nextLong(SPREAD_MILLIS), () -> account.setVmCount(count));
            }
        }
    }

    private void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, mEventNumber++, action));
    }

    private void log(String format, Object... values) {
        mHistory.add(
                String.format(Locale.ROOT, "%7.2f ", mNowMillis / 1000.0)
                        + String.format(Locale.ROOT, format, values));
    }

    /** Something that happens at a time. */
    private static final class Event implements Comparable<Event> {
        private final long mMillis;
        private final long mNumber;
        private final Runnable mAction;

        Event(long millis, long number, Runnable action) {
            mMillis = millis;
            mNumber = number;
            mAction = action;
        }

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(mMillis, other.mMillis);
            return order != 0 ? order : Long.compare(mNumber, other.mNumber);
        }
    }

    /** A term of a lease holder. */
    private final class Holder {
        private final SimulatedVm mVm;
        private final AllowanceAccount mProcess;
        private final AllowanceLedger mLedger;
        private final long mTerm;
        private long mEndMillis = Long.MAX_VALUE;

        Holder(SimulatedVm vm, long term) {
            mVm = vm;
            mProcess = vm.mAccount;
            mLedger = AllowanceLedger.create(mTolerance, term);
            mTerm = term;
        }

        boolean isLiving() {
            return mVm.mAccount == mProcess && mNowMillis < mEndMillis;
        }

        /** A suspended holder handles the request when it resumes. */
        void receive(GrantRequest request, SimulatedVm sender) {
            if (mVm.mAccount != mProcess) {
                return;
            }
            if (mVm.isSuspended()) {
                at(mVm.mSuspendedUntilMillis, () -> receive(request, sender));
                return;
            }
            if (!isLiving()) {
                refuse(sender);
                return;
            }
            GrantReply reply =
                    mLedger.handle(
                            request,
                            Map.of(TEAM, mVm.mAllowance),
                            mPublishedCount,
                            mVm.clockMillis());
            AllowanceAccount process = sender.mAccount;
            if (!sender.mLosesReplies) {
                at(mNowMillis + sender.mReplyMillis, () -> sender.receive(reply, process));
            }
        }

        /** Tells a VM that has had a reply in this term that the term is over. */
        private void refuse(SimulatedVm sender) {
            AllowanceAccount process = sender.mAccount;
            if (process != null && process.term() == mTerm && !sender.mLosesReplies) {
                at(
                        mNowMillis + sender.mReplyMillis,
                        () -> {
                            if (sender.mAccount == process && sender.mHolder == this) {
                                process.recordHolderEnded(sender.clockMillis());
                            }
                        });
            }
        }
    }

    /** A request of a caller that waits for an advance. */
    private record Waiting(double cost, long sentMillis, long sentClockMillis) {}

    /** A VM, on which at most one process runs at a time. */
    final class SimulatedVm {
        private final int mIndex;
        private final Deque<Waiting> mWaiting = new ArrayDeque<>();
        private AllowanceAccount mAccount;
        private Allowance mAllowance = SimulatedAllowances.this.mAllowance;
        private Holder mHolder;
        private int mIncarnation;
        private double[] mCosts = {};
        private int mNextCost;
        private int mNotRunPercent;
        private boolean mLosesRequests;
        private boolean mLosesReplies;
        private boolean mRepeatsRequests;
        private long mRequestMillis = STEP_MILLIS;
        private long mReplyMillis = STEP_MILLIS;
        private long mClockMicros;
        private int mClockRatePerThousand = 1_000;
        private long mSuspendedUntilMillis;

        SimulatedVm(int index) {
            mIndex = index;
            mClockMicros = 10_000_000L * (index + 1);
        }

        void start() {
            if (mAccount != null) {
                return;
            }
            log("vm-%d starts", mIndex);
            mIncarnation++;
            mAccount = AllowanceAccount.create("vm-" + mIndex, "" + mIncarnation, mTolerance);
        }

        void kill() {
            if (mAccount != null) {
                log("vm-%d is killed", mIndex);
                mAccount = null;
                mWaiting.clear();
                mDeathMillis.add(mNowMillis);
            }
        }

        void suspend(long millis) {
            if (!isSuspended()) {
                log("vm-%d is suspended for %d ms", mIndex, millis);
                mSuspendedUntilMillis = mNowMillis + millis;
            }
        }

        /** Lets one request arrive now. */
        void sendRequest(double cost) {
            admit(new Waiting(cost, mNowMillis, clockMillis()));
        }

        /** Sets the costs of the requests that arrive in each step. */
        void setDemand(double... costs) {
            mCosts = costs;
        }

        /** Sets how many of 100 admitted requests are refused later without having run. */
        void setNotRun(int percent) {
            mNotRunPercent = percent;
        }

        void setDelays(long requestMillis, long replyMillis) {
            log("vm-%d requests take %d ms, replies %d", mIndex, requestMillis, replyMillis);
            mRequestMillis = requestMillis;
            mReplyMillis = replyMillis;
        }

        void setLosses(boolean losesRequests, boolean losesReplies, boolean repeats) {
            log(
                    "vm-%d loses requests %s, replies %s; repeats %s",
                    mIndex, losesRequests, losesReplies, repeats);
            mLosesRequests = losesRequests;
            mLosesReplies = losesReplies;
            mRepeatsRequests = repeats;
        }

        void setClockRatePerThousand(int rate) {
            mClockRatePerThousand = rate;
        }

        boolean isSuspended() {
            return mNowMillis < mSuspendedUntilMillis;
        }

        private long clockMillis() {
            return mClockMicros / 1_000;
        }

        private void learnHolder(Holder holder) {
            if (mHolder == null || holder.mLedger != mHolder.mLedger) {
                mHolder = holder;
            }
        }

        private void step() {
            mClockMicros += STEP_MILLIS * mClockRatePerThousand;
            if (mAccount == null || isSuspended()) {
                return;
            }
            endWaits();
            for (double cost : mCosts) {
                admit(new Waiting(cost, mNowMillis, clockMillis()));
            }
            if (mAccount.millisUntilRequest(clockMillis()) == 0) {
                send(mAccount.nextRequest(clockMillis()));
            }
        }

        private void endWaits() {
            for (Iterator<Waiting> i = mWaiting.iterator(); i.hasNext(); ) {
                Waiting waiting = i.next();
                long waitedMillis = clockMillis() - waiting.sentClockMillis();
                if (waitedMillis >= AllowanceAccount.WAIT_MILLIS) {
                    i.remove();
                    // A resumed VM finds that its callers have left.
                    if (waitedMillis < AllowanceAccount.WAIT_MILLIS + 2 * STEP_MILLIS) {
                        Decision decision =
                                mAccount.tryAdmitAfterWait(
                                        TEAM, mAllowance, waiting.cost(), clockMillis());
                        record(waiting, decision);
                    }
                }
            }
        }

        private void admit(Waiting request) {
            record(request, mAccount.tryAdmit(TEAM, mAllowance, request.cost(), clockMillis()));
        }

        private void record(Waiting request, Decision decision) {
            switch (decision.outcome()) {
                case ADMITTED -> run(request);
                case NEEDS_ADVANCE -> mWaiting.add(request);
                default -> mUse.addRefused(request.sentMillis());
            }
        }

        private void run(Waiting request) {
            if (mRandom.nextInt(100) >= mNotRunPercent) {
                mUse.addRun(request.sentMillis(), request.cost());
                return;
            }
            AllowanceAccount process = mAccount;
            long admittedMillis = clockMillis();
            at(
                    mNowMillis + mRandom.nextLong(1_000),
                    () -> {
                        if (mAccount == process && !isSuspended()) {
                            process.credit(TEAM, request.cost(), admittedMillis, clockMillis());
                        }
                    });
        }

        private void send(GrantRequest request) {
            Holder holder = mHolder;
            if (holder == null || mLosesRequests) {
                return;
            }
            at(mNowMillis + mRequestMillis, () -> holder.receive(request, this));
            if (mRepeatsRequests) {
                long delayMillis = mRandom.nextLong(2_000);
                at(mNowMillis + delayMillis, () -> holder.receive(request, this));
            }
        }

        private void receive(GrantReply reply, AllowanceAccount process) {
            if (mAccount != process || mAccount == null) {
                return;
            }
            if (isSuspended()) {
                at(mSuspendedUntilMillis, () -> receive(reply, process));
                return;
            }
            mAccount.apply(reply, clockMillis());
            List<Waiting> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(this::admit);
        }
    }
}
