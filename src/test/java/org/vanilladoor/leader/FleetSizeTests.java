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

/** How many endpoints there shall be, and of which kind. */
class FleetSizeTests {
    private static final long NOW = 100_000;
    private final FleetSize mSize = FleetSize.create();

    @Test
    void nothingIsOrderedWhileEndpointsStillRegister() {
        assertThat(mSize.decide(cheap(), engines(1, 0), Work.NONE, NOW)).isEmpty();
        assertThat(mSize.decide(cheap(), engines(4, 0), Work.NONE, NOW + 2_000)).isEmpty();
        assertThat(mSize.decide(cheap(), engines(6, 0), Work.NONE, NOW + 4_000)).isEmpty();
        assertThat(mSize.decide(cheap(), engines(6, 0), Work.NONE, NOW + 7_500)).isNotEmpty();
    }

    @Test
    void steadyEndpointsAreGivenUpOnlyOnceReclaimableOnesStandIn() {
        List<FleetOperations.ScaleOrder> first = settled(cheap(), engines(6, 0), Work.NONE);
        assertThat(first.stream().allMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        first.forEach(order -> mSize.answered(order, true, NOW + 5_000));
        List<FleetOperations.ScaleOrder> next =
                mSize.decide(cheap(), engines(6, 12), Work.NONE, NOW + 10_000);
        assertThat(next).isNotEmpty();
        assertThat(next.stream().noneMatch(FleetOperations.ScaleOrder::reclaimable)).isTrue();
        assertThat(next.stream().allMatch(order -> order.count() == 1)).isTrue();
    }

    @Test
    void aBurstOfLongPromptsOrdersMoreWithinTheMaximum() {
        List<FleetOperations.ScaleOrder> orders = settled(cheap(), engines(6, 0), new Work(80, 40));
        assertThat(orders).hasSize(3);
        assertThat(orders.stream().allMatch(order -> order.count() >= 3)).isTrue();
        assertThat(orders.stream().allMatch(order -> order.count() <= 7)).isTrue();
    }

    @Test
    void aFailureDomainWithoutReclaimableEndpointsIsNotAskedAgainAtOnce() {
        List<FleetOperations.ScaleOrder> orders = settled(cheap(), engines(6, 0), Work.NONE);
        FleetOperations.ScaleOrder refused = orders.get(0);
        mSize.answered(refused, false, NOW + 5_000);
        List<FleetOperations.ScaleOrder> next =
                mSize.decide(cheap(), engines(6, 0), Work.NONE, NOW + 6_000);
        assertThat(next.stream().map(FleetOperations.ScaleOrder::failureDomain).toList())
                .doesNotContain(refused.failureDomain());
    }

    @Test
    void endpointsThatWereReclaimedAreOrderedAgainOnceNewOnesWouldHaveCome() {
        List<FleetOperations.ScaleOrder> orders = settled(cheap(), engines(3, 0), Work.NONE);
        orders.forEach(order -> mSize.answered(order, true, NOW + 5_000));
        assertThat(mSize.decide(cheap(), engines(3, 0), Work.NONE, NOW + 9_000)).isEmpty();
        assertThat(mSize.decide(cheap(), engines(3, 0), Work.NONE, NOW + 13_000))
                .containsExactlyElementsIn(
                        orders.stream().filter(order -> order.count() > 0).toList());
        assertThat(mSize.decide(cheap(), engines(3, 3), Work.NONE, NOW + 13_000)).isEmpty();
    }

    @Test
    void steadyEndpointsThatAreLostAreOrderedAgain() {
        List<FleetOperations.ScaleOrder> orders = settled(cheap(), engines(2, 0), Work.NONE);
        assertThat(orders)
                .contains(new FleetOperations.ScaleOrder(Endpoints.SERVICE, "c", 1, false));
    }

    @Test
    void withoutCheapEndpointsACalmFleetStaysAsItIs() {
        assertThat(settled(service(0.9), engines(6, 0), new Work(0.5, 10))).isEmpty();
    }

    private List<FleetOperations.ScaleOrder> settled(
            ServiceDefinition service, List<Endpoint> engines, Work work) {
        mSize.decide(service, engines, work, NOW);
        return mSize.decide(service, engines, work, NOW + 4_000);
    }

    private static ServiceDefinition cheap() {
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

    private static List<Endpoint> engines(int steady, int reclaimable) {
        List<String> domains = List.of("a", "b", "c");
        List<Endpoint> engines = new ArrayList<>();
        for (int index = 0; index < steady + reclaimable; index++) {
            Endpoint engine =
                    Endpoints.engine("e-" + index, domains.get(index % 3), EngineRole.DECODE);
            engines.add(index < steady ? engine : Endpoints.reclaimable(engine));
        }
        return engines;
    }
}
