package org.vanilladoor.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.dispatch.Demand;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.generated.DrainRequest;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.order.HttpOrderSender;
import org.vanilladoor.order.OpenOrder;
import org.vanilladoor.order.OrderSender;
import org.vanilladoor.role.RoleChangeProcess;
import org.vanilladoor.role.RoleCore;

/**
 * Orders role changes of the engines in this process's failure domain, while it holds the lease.
 *
 * <p>Belongs to the control thread.
 */
final class OrderDuty {
    private static final Logger LOG = LogManager.getLogger(OrderDuty.class);
    private final EntryContext mContext;
    private final LeasedScope mScope;
    private final WriterWatch mWriters;
    private final OrderSender mSender;
    private final Map<String, HostPort> mAddresses = new ConcurrentHashMap<>();
    private final Map<String, RoleCore> mRoles = new TreeMap<>();
    private final Map<String, RoleChangeProcess> mChanges = new TreeMap<>();
    private final Map<String, Map<String, RoleChangeProcess.Confirmation>> mConfirmations =
            new HashMap<>();
    private final Set<String> mToOpen = new TreeSet<>();
    private long mTerm;

    private OrderDuty(EntryContext context, LeasedScope scope, WriterWatch writers) {
        mContext = context;
        mScope = scope;
        mWriters = writers;
        mSender =
                HttpOrderSender.create(
                        context.links(),
                        context.threads(),
                        context.settings().systemCredential(),
                        mAddresses::get);
    }

    static OrderDuty create(EntryContext context, LeasedScope scope, WriterWatch writers) {
        return new OrderDuty(context, scope, writers);
    }

    /** Does what is to be done now. */
    void round(long nowMillis) {
        if (!mScope.orders().mayWriteOrders(nowMillis)) {
            mChanges.clear();
            return;
        }
        if (mTerm != mScope.orders().term()) {
            adopt();
        }
        List<EndpointView> engines = engines();
        engines.forEach(
                view -> mAddresses.put(view.description().name(), view.description().hostPort()));
        decide(engines, nowMillis);
        proceed(engines, nowMillis);
        mScope.orders().takeSendable(nowMillis).forEach(this::send);
    }

    /** Takes note of the order that an engine says it applied last. */
    void applied(String endpoint, String identifier) {
        mScope.orders().recordApplied(endpoint, identifier, MonotonicClock.nowMillis());
    }

    /** A new holder carries on no half-done change: endpoints without an open order are opened. */
    private void adopt() {
        mTerm = mScope.orders().term();
        mChanges.clear();
        mConfirmations.clear();
        mToOpen.addAll(mScope.orders().journal().drained());
        LOG.info("order: {} acts in term {}.", mScope.name(), mTerm);
    }

    private List<EndpointView> engines() {
        String domain = mContext.settings().failureDomain();
        return mContext.core().endpoints().stream()
                .filter(view -> view.description().engine())
                .filter(view -> view.description().failureDomain().equals(domain))
                .toList();
    }

    private void decide(List<EndpointView> engines, long nowMillis) {
        Map<String, List<EndpointView>> pools =
                engines.stream().collect(Collectors.groupingBy(view -> view.description().pool()));
        int sharers =
                Math.max(
                        1,
                        mContext.membership()
                                .liveNames(mContext.settings().failureDomain(), nowMillis)
                                .size());
        pools.forEach(
                (pool, views) -> {
                    boolean busy =
                            views.stream()
                                    .anyMatch(v -> mChanges.containsKey(v.description().name()));
                    if (!busy) {
                        decidePool(pool, views, sharers, nowMillis);
                    }
                });
    }

    private void decidePool(String pool, List<EndpointView> views, int sharers, long nowMillis) {
        EngineProfile profile = EngineProfile.standard();
        Demand own =
                mContext.core().demandMeter(pool).forecast(profile.roleChangeMillis(), nowMillis);
        Demand forecast = new Demand(own.promptTokens() * sharers, own.outputTokens() * sharers);
        mRoles.computeIfAbsent(pool, key -> RoleCore.create(Policies.Roles.FORECAST, profile))
                .decide(views, forecast, nowMillis)
                .ifPresent(
                        change -> {
                            boolean checks =
                                    views.stream()
                                            .map(EndpointView::description)
                                            .filter(d -> d.name().equals(change.endpoint()))
                                            .anyMatch(d -> d.checksTerms());
                            mChanges.put(
                                    change.endpoint(),
                                    RoleChangeProcess.start(
                                            change, checks, mScope.orders(), nowMillis));
                        });
    }

    private void proceed(List<EndpointView> engines, long nowMillis) {
        for (RoleChangeProcess process : new ArrayList<>(mChanges.values())) {
            String endpoint = process.endpoint();
            Optional<EndpointView> view =
                    engines.stream()
                            .filter(each -> each.description().name().equals(endpoint))
                            .findFirst();
            process.proceed(view, confirmations(endpoint), nowMillis);
            if (process.isDone()) {
                mChanges.remove(endpoint);
                mConfirmations.remove(endpoint);
                mToOpen.add(endpoint);
            } else {
                tellAll(endpoint, true);
            }
        }
        for (String endpoint : List.copyOf(mToOpen)) {
            if (mScope.orders().journal().openFor(endpoint).isEmpty()
                    && !mChanges.containsKey(endpoint)) {
                mScope.orders().recordDrained(endpoint, false, nowMillis);
                tellAll(endpoint, false);
                mToOpen.remove(endpoint);
            }
        }
    }

    private List<RoleChangeProcess.Confirmation> confirmations(String endpoint) {
        Map<String, RoleChangeProcess.Confirmation> heard =
                mConfirmations.getOrDefault(endpoint, Map.of());
        List<RoleChangeProcess.Confirmation> all = new ArrayList<>();
        for (String machine : mWriters.possibleMachines()) {
            all.add(
                    heard.getOrDefault(
                            machine, new RoleChangeProcess.Confirmation(machine, false, 0)));
        }
        all.add(
                new RoleChangeProcess.Confirmation(
                        mContext.settings().name(), true, mContext.drains().ownRequests(endpoint)));
        return all;
    }

    private void tellAll(String endpoint, boolean drained) {
        mContext.drains().setDrained(endpoint, mTerm, drained);
        DrainRequest request =
                new DrainRequest(
                        mContext.settings().systemCredential(),
                        endpoint,
                        mScope.name(),
                        mTerm,
                        drained);
        for (MemberRecord member : mContext.membership().others()) {
            mContext.peers()
                    .call(member.peerAddress(), client -> client.drain(request))
                    .thenAcceptAsync(
                            reply ->
                                    mConfirmations
                                            .computeIfAbsent(endpoint, key -> new HashMap<>())
                                            .put(
                                                    member.name(),
                                                    new RoleChangeProcess.Confirmation(
                                                            member.name(),
                                                            reply.isAccepted(),
                                                            reply.getOwnRequests())),
                            mContext.control()::execute);
        }
    }

    private void send(OpenOrder order) {
        LOG.info("order: {} goes to {}.", order.identifier(), order.target());
        mSender.send(order)
                .thenAcceptAsync(
                        result -> {
                            long now = MonotonicClock.nowMillis();
                            switch (result) {
                                case APPLIED, NOT_SENT ->
                                        mScope.orders().markSettled(order.identifier(), now);
                                case REFUSED_FOR_TERM ->
                                        mScope.orders().markRefused(order.identifier());
                                case UNKNOWN ->
                                        LOG.warn("order: {} stays open.", order.identifier());
                            }
                        },
                        mContext.control()::execute);
    }
}
