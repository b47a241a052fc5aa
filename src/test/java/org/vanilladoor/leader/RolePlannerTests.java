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

/** Tests of the number of engines that take the prefill role. */
class RolePlannerTests {
    private static final long NOW = 100_000;
    private final RolePlanner mPlanner = RolePlanner.create();
    private final ServiceDefinition mService =
            new ServiceDefinition(
                    Endpoints.SERVICE,
                    500,
                    Optional.of(new ServiceDefinition.EngineDefinition(64, 600_000, 3_000)),
                    Optional.of(new ServiceDefinition.Scaling(1, 8, 4_000, 0.2, Map.of())));

    @Test
    void enginesNotNeededForDecodeChangeToPrefill() {
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines(3, 5), new ServiceLoad(4, 50), NOW);
        assertThat(changes).hasSize(3);
        assertThat(changes.stream().allMatch(each -> each.role() == EngineRole.PREFILL)).isTrue();
    }

    @Test
    void prefillEnginesChangeToDecodeWhenManyRequestsRun() {
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines(6, 2), new ServiceLoad(4, 120), NOW);
        assertThat(changes).hasSize(2);
        assertThat(changes.stream().allMatch(each -> each.role() == EngineRole.DECODE)).isTrue();
    }

    @Test
    void twoEnginesRemainInTheDecodeRole() {
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines(0, 3), new ServiceLoad(50, 0), NOW);
        assertThat(changes).hasSize(1);
        assertThat(mPlanner.decide(mService, engines(2, 0), new ServiceLoad(50, 0), NOW))
                .hasSize(2);
    }

    @Test
    void engineThatChangesItsRoleCountsInItsNextRole() {
        List<Endpoint> engines = new ArrayList<>(engines(3, 2));
        engines.add(
                Endpoints.changing(
                        Endpoints.engine("x", "a", EngineRole.DECODE), EngineRole.PREFILL));
        assertThat(mPlanner.decide(mService, engines, new ServiceLoad(4, 50), NOW)).isEmpty();
    }

    @Test
    void anEngineThatHasJustChangedIsNotChangedAgain() {
        List<Endpoint> engines = engines(3, 3);
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines, new ServiceLoad(4, 50), NOW);
        assertThat(changes).hasSize(1);
        mPlanner.recordOrder(changes.get(0), NOW);
        List<RolePlanner.RoleAssignment> next =
                mPlanner.decide(mService, engines, new ServiceLoad(4, 50), NOW + 5_000);
        assertThat(next.get(0).engine()).isNotEqualTo(changes.get(0).engine());
    }

    @Test
    void anEngineOfTheFailureDomainWithMostEnginesChangesFirst() {
        List<Endpoint> engines = new ArrayList<>();
        engines.add(Endpoints.engine("a-1", "a", EngineRole.DECODE));
        engines.add(Endpoints.engine("b-1", "b", EngineRole.DECODE));
        engines.add(Endpoints.engine("b-2", "b", EngineRole.DECODE));
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines, new ServiceLoad(4, 1), NOW);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).engine().failureDomain()).isEqualTo("b");
    }

    @Test
    void aQuarterOfTheEnginesRemainsInTheDecodeRoleAtLowLoad() {
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines(8, 8), new ServiceLoad(20, 10), NOW);
        assertThat(changes).hasSize(4);
    }

    @Test
    void theMostRecentlyStartedEngineChangesFirst() {
        List<Endpoint> engines = new ArrayList<>();
        engines.add(Endpoints.engine("z-old", "a", EngineRole.DECODE));
        engines.add(
                Endpoints.startedAt(Endpoints.engine("a-young", "a", EngineRole.DECODE), 9_000));
        engines.add(Endpoints.engine("b", "b", EngineRole.DECODE));
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines, new ServiceLoad(4, 1), NOW);
        assertThat(changes.get(0).engine().name()).isEqualTo("a-young");
    }

    @Test
    void smoothedLoadFollowsARiseAtOnceAndAFallByHalf() {
        ServiceLoad afterRise = new ServiceLoad(2, 50).smoothedWith(new ServiceLoad(1, 180));
        assertThat(afterRise).isEqualTo(new ServiceLoad(1.5, 180));
        assertThat(afterRise.smoothedWith(ServiceLoad.NONE)).isEqualTo(new ServiceLoad(0.75, 90));
    }

    @Test
    void noEngineLeavesDecodeWhileRunningRequestsRise() {
        mPlanner.decide(mService, engines(4, 2), new ServiceLoad(4, 20), NOW);
        assertThat(mPlanner.decide(mService, engines(4, 5), new ServiceLoad(4, 60), NOW + 2_000))
                .isEmpty();
        assertThat(mPlanner.decide(mService, engines(4, 5), new ServiceLoad(4, 60), NOW + 9_000))
                .hasSize(3);
    }

    @Test
    void noEngineLeavesDecodeWhileOthersAreStillChangingToDecode() {
        List<RolePlanner.RoleAssignment> changes =
                mPlanner.decide(mService, engines(6, 2), new ServiceLoad(4, 120), NOW);
        changes.forEach(change -> mPlanner.recordOrder(change, NOW + 7_000));
        assertThat(mPlanner.decide(mService, engines(4, 6), new ServiceLoad(4, 100), NOW + 9_000))
                .isEmpty();
    }

    private static List<Endpoint> engines(int prefillEngines, int decodeEngines) {
        List<Endpoint> engines = new ArrayList<>();
        for (int index = 0; index < prefillEngines; index++) {
            engines.add(Endpoints.engine("prefill-" + index, "a", EngineRole.PREFILL));
        }
        for (int index = 0; index < decodeEngines; index++) {
            String domain = index % 2 == 0 ? "a" : "b";
            engines.add(Endpoints.engine("decode-" + index, domain, EngineRole.DECODE));
        }
        return engines;
    }
}
