package org.vanilladoor.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.dispatch.Demand;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.generated.DrainReply;
import org.vanilladoor.generated.DrainRequest;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.order.HttpOrderSender;
import org.vanilladoor.order.OpenOrder;
import org.vanilladoor.order.OrderSender;
import org.vanilladoor.role.RoleChangeProcess;
import org.vanilladoor.role.RoleCore;

/**
 * Decides on and carries out role changes of the engines in this process's failure domain while it
 * holds the lease of the domain's orders.
 *
 * <p>Confined to the control thread, except that the order sender reads the addresses of engines.
 */
final class RoleChangeController {
    private static final Logger LOG = LogManager.getLogger(RoleChangeController.class);
    private final EntryContext mContext;
    private final LeasedScope mScope;
    private final OrderWriterMonitor mOrderWriterMonitor;
    private final OrderSender mOrderSender;
    private final Map<String, HostPort> mAddresses = new ConcurrentHashMap<>();
    private final Map<String, RoleCore> mRoleCores = new TreeMap<>();
    private final Map<String, RoleChangeProcess> mChangeProcesses = new TreeMap<>();
    private final Map<String, Map<String, RoleChangeProcess.Confirmation>> mConfirmations =
            new HashMap<>();

    /** Endpoints whose drain has ended, each with the entries that have confirmed it. */
    private final Map<String, Set<String>> mEndpointsToResume = new TreeMap<>();

    private final Set<String> mOpenDrainCalls = new HashSet<>();
    private long mTerm;

    private RoleChangeController(
            EntryContext context, LeasedScope scope, OrderWriterMonitor orderWriterMonitor) {
        mContext = context;
        mScope = scope;
        mOrderWriterMonitor = orderWriterMonitor;
        mOrderSender =
                HttpOrderSender.create(
                        context.connections(),
                        context.executor(),
                        context.settings().systemCredential(),
                        mAddresses::get);
    }

    static RoleChangeController create(
            EntryContext context, LeasedScope scope, OrderWriterMonitor orderWriterMonitor) {
        return new RoleChangeController(context, scope, orderWriterMonitor);
    }

    /** Starts and advances role changes and sends committed orders, if the lease is held. */
    void runCycle(long nowMillis) {
        if (!mScope.orders().mayWriteOrders(nowMillis)) {
            // The lease may be held again in the same term, and then nobody else ends the drains.
            mChangeProcesses.keySet().forEach(this::resume);
            mChangeProcesses.clear();
            mConfirmations.clear();
            return;
        }
        if (mTerm != mScope.orders().term()) {
            startTerm();
        }
        List<EndpointView> engines = enginesOfOwnDomain();
        engines.forEach(
                view -> mAddresses.put(view.description().name(), view.description().hostPort()));
        startDueChanges(engines, nowMillis);
        advanceChanges(engines, nowMillis);
        mScope.orders().takeSendable(nowMillis).forEach(this::send);
    }

    /** Records the order that an engine reports as the last one it applied. */
    void recordAppliedOrder(String endpoint, String identifier) {
        mScope.orders().recordApplied(endpoint, identifier, MonotonicClock.nowMillis());
    }

    /**
     * Starts a new term of the lease.
     *
     * <p>A new holder does not continue unfinished changes: it resumes new work at every drained
     * endpoint once that has no open order.
     */
    private void startTerm() {
        mTerm = mScope.orders().term();
        mChangeProcesses.clear();
        mConfirmations.clear();
        mEndpointsToResume.clear();
        mScope.orders().journal().drained().forEach(this::resume);
        LOG.info("order: {} is held in term {}.", mScope.name(), mTerm);
    }

    private List<EndpointView> enginesOfOwnDomain() {
        String domain = mContext.settings().failureDomain();
        return mContext.dispatchCore().endpoints().stream()
                .filter(view -> view.description().engine())
                .filter(view -> view.description().failureDomain().equals(domain))
                .toList();
    }

    private void startDueChanges(List<EndpointView> engines, long nowMillis) {
        Map<String, List<EndpointView>> pools =
                engines.stream().collect(Collectors.groupingBy(view -> view.description().pool()));
        int entryCount =
                Math.max(
                        1,
                        mContext.membership()
                                .liveNames(mContext.settings().failureDomain(), nowMillis)
                                .size());
        pools.forEach(
                (pool, views) -> {
                    boolean isChanging =
                            views.stream()
                                    .anyMatch(
                                            view ->
                                                    mChangeProcesses.containsKey(
                                                            view.description().name()));
                    if (!isChanging) {
                        startDueChange(pool, views, entryCount, nowMillis);
                    }
                });
    }

    private void startDueChange(
            String pool, List<EndpointView> views, int entryCount, long nowMillis) {
        EngineProfile profile = EngineProfile.standard();
        // Each entry of the domain is assumed to receive as much work as this one.
        Demand ownDemand =
                mContext.dispatchCore()
                        .demandMeter(pool)
                        .forecast(profile.roleChangeMillis(), nowMillis);
        Demand forecast =
                new Demand(
                        ownDemand.promptTokens() * entryCount,
                        ownDemand.outputTokens() * entryCount);
        mRoleCores
                .computeIfAbsent(pool, key -> RoleCore.create(Policies.Roles.FORECAST, profile))
                .decide(views, forecast, nowMillis)
                .ifPresent(
                        change -> {
                            boolean checksTerms =
                                    views.stream()
                                            .map(EndpointView::description)
                                            .filter(
                                                    description ->
                                                            description
                                                                    .name()
                                                                    .equals(change.endpoint()))
                                            .anyMatch(description -> description.checksTerms());
                            mChangeProcesses.put(
                                    change.endpoint(),
                                    RoleChangeProcess.start(
                                            change, checksTerms, mScope.orders(), nowMillis));
                        });
    }

    private void advanceChanges(List<EndpointView> engines, long nowMillis) {
        for (RoleChangeProcess process : new ArrayList<>(mChangeProcesses.values())) {
            String endpoint = process.endpoint();
            Optional<EndpointView> view =
                    engines.stream()
                            .filter(each -> each.description().name().equals(endpoint))
                            .findFirst();
            process.proceed(view, confirmations(endpoint), nowMillis);
            if (process.isDone()) {
                mChangeProcesses.remove(endpoint);
                mConfirmations.remove(endpoint);
                resume(endpoint);
            } else if (mScope.orders().isDrainCommitted(endpoint, nowMillis)) {
                broadcastDrain(process);
            }
        }
        for (String endpoint : List.copyOf(mEndpointsToResume.keySet())) {
            if (mChangeProcesses.containsKey(endpoint)) {
                mEndpointsToResume.remove(endpoint);
            } else if (mScope.orders().journal().openFor(endpoint).isEmpty()) {
                endDrain(endpoint, nowMillis);
            }
        }
    }

    private void resume(String endpoint) {
        mEndpointsToResume.put(endpoint, new HashSet<>());
    }

    /**
     * Tells the entries that have not confirmed it that the drain has ended. The journal keeps the
     * drain until all have, so that a later holder tells the others.
     */
    private void endDrain(String endpoint, long nowMillis) {
        mContext.drainRegistry().setDrained(endpoint, mTerm, false);
        Set<String> confirmed = mEndpointsToResume.get(endpoint);
        Set<String> possibleVms = mOrderWriterMonitor.possibleEntryVms();
        boolean isConfirmedByAll = true;
        for (MemberRecord member : mContext.membership().others()) {
            if (possibleVms.contains(member.name()) && !confirmed.contains(member.name())) {
                isConfirmedByAll = false;
                sendDrain(member, endpoint, false, reply -> confirmed.add(member.name()));
            }
        }
        mScope.orders().recordDrained(endpoint, !isConfirmedByAll, nowMillis);
        if (isConfirmedByAll) {
            mEndpointsToResume.remove(endpoint);
        }
    }

    private List<RoleChangeProcess.Confirmation> confirmations(String endpoint) {
        Map<String, RoleChangeProcess.Confirmation> received =
                mConfirmations.getOrDefault(endpoint, Map.of());
        List<RoleChangeProcess.Confirmation> all = new ArrayList<>();
        for (String vmName : mOrderWriterMonitor.possibleEntryVms()) {
            all.add(
                    received.getOrDefault(
                            vmName, new RoleChangeProcess.Confirmation(vmName, false, 0)));
        }
        all.add(
                new RoleChangeProcess.Confirmation(
                        mContext.settings().name(),
                        true,
                        mContext.drainRegistry().ownRequests(endpoint)));
        return all;
    }

    private void broadcastDrain(RoleChangeProcess process) {
        String endpoint = process.endpoint();
        mContext.drainRegistry().setDrained(endpoint, mTerm, true);
        for (MemberRecord member : mContext.membership().others()) {
            sendDrain(
                    member,
                    endpoint,
                    true,
                    reply -> {
                        if (mChangeProcesses.get(endpoint) == process) {
                            mConfirmations
                                    .computeIfAbsent(endpoint, key -> new HashMap<>())
                                    .put(
                                            member.name(),
                                            new RoleChangeProcess.Confirmation(
                                                    member.name(),
                                                    reply.isAccepted(),
                                                    reply.getOwnRequests()));
                        }
                    });
        }
    }

    /**
     * Asks an entry to stop or resume new work at an endpoint, unless an earlier request about the
     * endpoint has not ended there: requests that overtake each other would leave the wrong state.
     */
    private void sendDrain(
            MemberRecord member, String endpoint, boolean drained, Consumer<DrainReply> onReply) {
        String call = endpoint + " at " + member.name();
        if (!mOpenDrainCalls.add(call)) {
            return;
        }
        DrainRequest request =
                new DrainRequest(
                        mContext.settings().systemCredential(),
                        endpoint,
                        mScope.name(),
                        mTerm,
                        drained);
        mContext.peerClient()
                .call(member.peerAddress(), client -> client.drain(request))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            mOpenDrainCalls.remove(call);
                            if (failure == null) {
                                onReply.accept(reply);
                            }
                        },
                        mContext.control()::execute);
    }

    private void send(OpenOrder order) {
        LOG.info("order: Sending {} to {}.", order.identifier(), order.target());
        mOrderSender
                .send(order)
                .thenAcceptAsync(
                        result -> {
                            long nowMillis = MonotonicClock.nowMillis();
                            switch (result) {
                                case APPLIED, NOT_SENT ->
                                        mScope.orders().markSettled(order.identifier(), nowMillis);
                                case REFUSED_FOR_TERM ->
                                        mScope.orders().markRefused(order.identifier());
                                case UNKNOWN ->
                                        LOG.warn(
                                                "order: It is unknown whether {} was applied;"
                                                        + " it stays open.",
                                                order.identifier());
                            }
                        },
                        mContext.control()::execute);
    }
}
