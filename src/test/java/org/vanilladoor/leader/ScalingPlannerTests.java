package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.route.ServiceDefinition;

/** Tests of the number of endpoints that is ordered, by kind and failure domain. */
class ScalingPlannerTests {
    private static final long NOW = 100_000;
    private final ScalingPlanner mPlanner = ScalingPlanner.create();

    @Test
    void nothingIsOrderedUntilTheNumberOfEndpointsIsStable() {
        assertThat(mPlanner.decide(cheapService(), engines(1, 0), 0, ServiceLoad.NONE, NOW))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(4, 0), 0, ServiceLoad.NONE, NOW + 2_000))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(6, 0), 0, ServiceLoad.NONE, NOW + 4_000))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(6, 0), 0, ServiceLoad.NONE, NOW + 7_500))
                .isNotEmpty();
    }

    @Test
    void nonReclaimableEndpointsAreRemovedOnlyAfterReclaimableOnesReplaceThem() {
        List<FleetOperations.ScaleOrder> first =
                decideWhenStable(cheapService(), engines(6, 0), ServiceLoad.NONE);
        assertThat(first.stream().allMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        first.forEach(order -> mPlanner.recordResponse(order, true, NOW + 5_000));
        List<FleetOperations.ScaleOrder> next =
                mPlanner.decide(cheapService(), engines(6, 12), 0, ServiceLoad.NONE, NOW + 10_000);
        assertThat(next).isNotEmpty();
        assertThat(next.stream().noneMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        assertThat(next.stream().allMatch(order -> order.count() == 1)).isTrue();
    }

    /**
     * Where the room beside them is small, they would otherwise stay, at several times the price.
     */
    @Test
    void nonReclaimableEndpointsLeaveOnceReclaimableOnesFillTheRoomBesideThem() {
        decideWhenStable(cheapService(), engines(18, 0), ServiceLoad.NONE);
        assertThat(
                        mPlanner.decide(
                                cheapService(), engines(18, 6), 0, ServiceLoad.NONE, NOW + 10_000))
                .containsAtLeast(fixed("a", 1), fixed("b", 1), fixed("c", 1));
    }

    @Test
    void aFullFailureDomainMakesRoomForReclaimableEndpoints() {
        assertThat(decideWhenStable(cheapService(), engines(24, 0), ServiceLoad.NONE))
                .containsExactly(fixed("a", 1), fixed("b", 1), fixed("c", 1));
    }

    @Test
    void underLoadNoMoreNonReclaimableEndpointsLeaveThanReclaimableOnesRun() {
        ServiceLoad load = new ServiceLoad(80, 40);
        decideWhenStable(cheapService(), engines(18, 0), load);
        assertThat(mPlanner.decide(cheapService(), engines(18, 6), 0, load, NOW + 10_000))
                .containsAtLeast(fixed("a", 4), fixed("b", 4), fixed("c", 4));
    }

    @Test
    void endpointsThatLimitTheirRequestsAreReplacedUpToTheLargestSize() {
        ServiceLoad load = new ServiceLoad(1, 1);
        decideWhenStable(cheapService(), engines(6, 0), load);
        assertThat(orderedInAll(2)).isEqualTo(orderedInAll(0) + 2);
        assertThat(orderedInAll(100)).isEqualTo(orderedInAll(50));
    }

    /** Returns the number of reclaimable endpoints that are ordered for six others. */
    private int orderedInAll(int limited) {
        return mPlanner
                .decide(cheapService(), engines(6, 0), limited, new ServiceLoad(1, 1), NOW + 20_000)
                .stream()
                .filter(FleetOperations.ScaleOrder::reclaimable)
                .mapToInt(FleetOperations.ScaleOrder::count)
                .sum();
    }

    /** More endpoints than the maximum run, for instance after the operators have lowered it. */
    @Test
    void noOrderAsksForLessThanNone() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(30, 0), new ServiceLoad(80, 40));
        assertThat(orders).isNotEmpty();
        assertThat(orders.stream().allMatch(order -> order.count() >= 0)).isTrue();
    }

    @Test
    void aNewLeaseHolderSendsNoOrderThatTheFleetAlreadyMeets() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(6, 0), ServiceLoad.NONE);
        List<Endpoint> sized = new ArrayList<>(engines(3, 0));
        orders.forEach(order -> sized.addAll(ordered(order)));
        ScalingPlanner next = ScalingPlanner.create();
        next.decide(cheapService(), sized, 0, ServiceLoad.NONE, NOW);
        assertThat(next.decide(cheapService(), sized, 0, ServiceLoad.NONE, NOW + 4_000)).isEmpty();
    }

    @Test
    void manyPromptsInPrefillOrderMoreEndpointsUpToTheMaximum() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(6, 0), new ServiceLoad(80, 40));
        assertThat(orders).hasSize(3);
        assertThat(orders.stream().allMatch(order -> order.count() >= 3)).isTrue();
        assertThat(orders.stream().allMatch(order -> order.count() <= 7)).isTrue();
    }

    @Test
    void aFailureDomainThatRejectedAnOrderGetsNoFurtherOrderForAWhile() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(6, 0), ServiceLoad.NONE);
        FleetOperations.ScaleOrder rejected = orders.get(0);
        mPlanner.recordResponse(rejected, false, NOW + 5_000);
        List<FleetOperations.ScaleOrder> next =
                mPlanner.decide(cheapService(), engines(6, 0), 0, ServiceLoad.NONE, NOW + 6_000);
        assertThat(next.stream().map(FleetOperations.ScaleOrder::failureDomain).toList())
                .doesNotContain(rejected.failureDomain());
    }

    @Test
    void reclaimedEndpointsAreOrderedAgainAfterTheStartTimeOfTheirReplacements() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(3, 0), ServiceLoad.NONE);
        orders.forEach(order -> mPlanner.recordResponse(order, true, NOW + 5_000));
        assertThat(mPlanner.decide(cheapService(), engines(3, 0), 0, ServiceLoad.NONE, NOW + 9_000))
                .isEmpty();
        assertThat(
                        mPlanner.decide(
                                cheapService(), engines(3, 0), 0, ServiceLoad.NONE, NOW + 13_000))
                .containsExactlyElementsIn(
                        orders.stream().filter(order -> order.count() > 0).toList());
        List<Endpoint> replaced = new ArrayList<>(engines(3, 0));
        orders.forEach(order -> replaced.addAll(ordered(order)));
        assertThat(mPlanner.decide(cheapService(), replaced, 0, ServiceLoad.NONE, NOW + 13_000))
                .isEmpty();
    }

    @Test
    void lostNonReclaimableEndpointsAreOrderedAgain() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(2, 0), ServiceLoad.NONE);
        assertThat(orders)
                .contains(new FleetOperations.ScaleOrder(Endpoints.SERVICE, "c", 1, false));
    }

    @Test
    void aFleetAtLowLoadDoesNotChangeWithoutCheapEndpoints() {
        assertThat(decideWhenStable(service(0.9), engines(6, 0), new ServiceLoad(0.5, 10)))
                .isEmpty();
    }

    /** Twice the initial size ran idle in calm times; the room for a burst and a loss stays. */
    @Test
    void theSizeFollowsTheWorkWithRoomForABurstAndTheLossOfADomain() {
        int size = sizeAfterLoad(load(60, 0, 20));
        // 60 prompts per second keep 2 engines busy: 4 engines at a half, 2 that decode, times
        // 1.5 for a burst and 1.5 for the loss of one of three domains.
        assertThat(size).isEqualTo(14);
        int prefillEnginesAfterALoss = (int) (size * 2 / 3.0 - 2);
        assertThat(prefillEnginesAfterALoss * RoleReplay.PROMPTS_PER_ENGINE_SECOND)
                .isAtLeast(1.5 * 60);
    }

    @Test
    void theSizeStaysAtLeastTheInitialOne() {
        assertThat(sizeAfterLoad(load(6, 0, 2))).isEqualTo(12);
    }

    /** The largest recorded load of long prompts, at the recorded rate of an engine. */
    @Test
    void theLargestRecordedLoadKeepsTheSizeOfBefore() {
        ServiceLoad load = load(227, 0, 20);
        assertThat(sizeAfterLoad(load)).isEqualTo(sizeAfterLoad(withoutNewFigures(load)));
    }

    private static ServiceLoad withoutNewFigures(ServiceLoad load) {
        return new ServiceLoad(load.reading(), load.running());
    }

    @Test
    void theSizeIsAsBeforeWhileCallersLackEngines() {
        for (ServiceLoad load : List.of(load(60, 5, 20), load(60, 0, 4 * 64))) {
            assertThat(sizeAfterLoad(load)).isEqualTo(sizeAfterLoad(withoutNewFigures(load)));
            assertThat(sizeAfterLoad(load)).isAtLeast(24);
        }
    }

    @Test
    void aLoadFromOlderProcessesGivesTheSizeOfBefore() {
        assertThat(sizeAfterLoad(new ServiceLoad(2, 20))).isEqualTo(24);
    }

    @Test
    void aNewLeaseHolderKeepsTheInitialSizeThatTheLastOneReported() {
        mPlanner.setReportedInitialSize(12);
        decideWhenStable(cheapService(), engines(3, 11), load(60, 0, 20));
        assertThat(mPlanner.initialSize()).isEqualTo(12);
    }

    /** Returns the size for 12 initial engines, 4 of which decode, after a minute of a load. */
    private static int sizeAfterLoad(ServiceLoad load) {
        ScalingPlanner planner = ScalingPlanner.create();
        List<Endpoint> engines = new ArrayList<>(engines(4, 0));
        for (int index = 0; index < 8; index++) {
            engines.add(Endpoints.engine("p-" + index, "a", EngineRole.PREFILL));
        }
        for (long now = NOW; now < NOW + 60_000; now += 1_000) {
            planner.decide(cheapService(), engines, 0, load, now);
        }
        return planner.size();
    }

    /** Returns a load of prompts of which an engine prefills 30 per second. */
    private static ServiceLoad load(double promptsPerSecond, double missed, double running) {
        double engines = 8;
        double busy = promptsPerSecond / RoleReplay.PROMPTS_PER_ENGINE_SECOND / engines;
        boolean isSaturated = busy > 0.9;
        double prefilling = isSaturated ? 4 : busy + busy * busy / 2 / (1 - busy);
        double waiting = isSaturated ? 30 : 0;
        return new ServiceLoad(
                prefilling * engines + waiting,
                running,
                new ServiceLoad.PromptFlow(waiting, promptsPerSecond, promptsPerSecond, missed),
                ServiceLoad.GenerationLoad.NONE);
    }

    private List<FleetOperations.ScaleOrder> decideWhenStable(
            ServiceDefinition service, List<Endpoint> engines, ServiceLoad load) {
        mPlanner.decide(service, engines, 0, load, NOW);
        return mPlanner.decide(service, engines, 0, load, NOW + 4_000);
    }

    private static FleetOperations.ScaleOrder fixed(String failureDomain, int count) {
        return new FleetOperations.ScaleOrder(Endpoints.SERVICE, failureDomain, count, false);
    }

    private static List<Endpoint> ordered(FleetOperations.ScaleOrder order) {
        return IntStream.range(0, order.count())
                .mapToObj(number -> order.failureDomain() + "-" + number)
                .map(name -> Endpoints.engine(name, order.failureDomain(), EngineRole.DECODE))
                .map(Endpoints::reclaimable)
                .toList();
    }

    private static ServiceDefinition cheapService() {
        return service(0.2);
    }

    private static ServiceDefinition service(double reclaimablePrice) {
        return new ServiceDefinition(
                Endpoints.SERVICE,
                500,
                Optional.of(new ServiceDefinition.EngineDefinition(64, 600_000, 3_000)),
                Optional.of(
                        new ServiceDefinition.Scaling(
                                1,
                                8,
                                4_000,
                                reclaimablePrice,
                                Map.of("a", 1.0, "b", 0.8, "c", 1.25))));
    }

    private static List<Endpoint> engines(int nonReclaimable, int reclaimable) {
        List<String> domains = List.of("a", "b", "c");
        List<Endpoint> engines = new ArrayList<>();
        for (int index = 0; index < nonReclaimable + reclaimable; index++) {
            Endpoint engine =
                    Endpoints.engine("e-" + index, domains.get(index % 3), EngineRole.DECODE);
            engines.add(index < nonReclaimable ? engine : Endpoints.reclaimable(engine));
        }
        return engines;
    }
}
