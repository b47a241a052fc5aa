package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
        assertThat(mPlanner.decide(cheapService(), engines(1, 0), ServiceLoad.NONE, NOW)).isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(4, 0), ServiceLoad.NONE, NOW + 2_000))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(6, 0), ServiceLoad.NONE, NOW + 4_000))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(6, 0), ServiceLoad.NONE, NOW + 7_500))
                .isNotEmpty();
    }

    @Test
    void nonReclaimableEndpointsAreRemovedOnlyAfterReclaimableOnesReplaceThem() {
        List<FleetOperations.ScaleOrder> first =
                decideWhenStable(cheapService(), engines(6, 0), ServiceLoad.NONE);
        assertThat(first.stream().allMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        first.forEach(order -> mPlanner.recordResponse(order, true, NOW + 5_000));
        List<FleetOperations.ScaleOrder> next =
                mPlanner.decide(cheapService(), engines(6, 12), ServiceLoad.NONE, NOW + 10_000);
        assertThat(next).isNotEmpty();
        assertThat(next.stream().noneMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        assertThat(next.stream().allMatch(order -> order.count() == 1)).isTrue();
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
                mPlanner.decide(cheapService(), engines(6, 0), ServiceLoad.NONE, NOW + 6_000);
        assertThat(next.stream().map(FleetOperations.ScaleOrder::failureDomain).toList())
                .doesNotContain(rejected.failureDomain());
    }

    @Test
    void reclaimedEndpointsAreOrderedAgainAfterTheStartTimeOfTheirReplacements() {
        List<FleetOperations.ScaleOrder> orders =
                decideWhenStable(cheapService(), engines(3, 0), ServiceLoad.NONE);
        orders.forEach(order -> mPlanner.recordResponse(order, true, NOW + 5_000));
        assertThat(mPlanner.decide(cheapService(), engines(3, 0), ServiceLoad.NONE, NOW + 9_000))
                .isEmpty();
        assertThat(mPlanner.decide(cheapService(), engines(3, 0), ServiceLoad.NONE, NOW + 13_000))
                .containsExactlyElementsIn(
                        orders.stream().filter(order -> order.count() > 0).toList());
        assertThat(mPlanner.decide(cheapService(), engines(3, 3), ServiceLoad.NONE, NOW + 13_000))
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

    private List<FleetOperations.ScaleOrder> decideWhenStable(
            ServiceDefinition service, List<Endpoint> engines, ServiceLoad load) {
        mPlanner.decide(service, engines, load, NOW);
        return mPlanner.decide(service, engines, load, NOW + 4_000);
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
