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

/** How many engines read prompts for others. */
class FleetPlanTests {
    private static final long NOW = 100_000;
    private final FleetPlan mPlan = FleetPlan.create();
    private final ServiceDefinition mService =
            new ServiceDefinition(
                    Endpoints.SERVICE,
                    500,
                    Optional.of(new ServiceDefinition.EngineDefinition(64, 600_000, 3_000)),
                    Optional.of(new ServiceDefinition.Scaling(1, 8, 4_000, 0.2, Map.of())));

    @Test
    void whatRunningDoesNotNeedReads() {
        List<FleetPlan.RoleChange> changes =
                mPlan.decide(mService, engines(3, 5), new Work(4, 50), NOW);
        assertThat(changes).hasSize(3);
        assertThat(changes.stream().allMatch(each -> each.role() == EngineRole.PREFILL)).isTrue();
    }

    @Test
    void manyRunningRequestsTakeReadersBack() {
        List<FleetPlan.RoleChange> changes =
                mPlan.decide(mService, engines(6, 2), new Work(4, 120), NOW);
        assertThat(changes).hasSize(2);
        assertThat(changes.stream().allMatch(each -> each.role() == EngineRole.DECODE)).isTrue();
    }

    @Test
    void twoEnginesAlwaysRun() {
        List<FleetPlan.RoleChange> changes =
                mPlan.decide(mService, engines(0, 3), new Work(50, 0), NOW);
        assertThat(changes).hasSize(1);
        assertThat(mPlan.decide(mService, engines(2, 0), new Work(50, 0), NOW)).hasSize(2);
    }

    @Test
    void engineThatChangesCountsInItsNextRole() {
        List<Endpoint> engines = new ArrayList<>(engines(3, 2));
        engines.add(
                Endpoints.changing(
                        Endpoints.engine("x", "a", EngineRole.DECODE), EngineRole.PREFILL));
        assertThat(mPlan.decide(mService, engines, new Work(4, 50), NOW)).isEmpty();
    }

    @Test
    void anEngineKeepsARoleForAWhile() {
        List<Endpoint> engines = engines(3, 3);
        List<FleetPlan.RoleChange> changes = mPlan.decide(mService, engines, new Work(4, 50), NOW);
        assertThat(changes).hasSize(1);
        mPlan.ordered(changes.get(0), NOW);
        List<FleetPlan.RoleChange> next =
                mPlan.decide(mService, engines, new Work(4, 50), NOW + 5_000);
        assertThat(next.get(0).engine()).isNotEqualTo(changes.get(0).engine());
    }

    @Test
    void enginesAreTakenFromTheCrowdedFailureDomain() {
        List<Endpoint> engines = new ArrayList<>();
        engines.add(Endpoints.engine("a-1", "a", EngineRole.DECODE));
        engines.add(Endpoints.engine("b-1", "b", EngineRole.DECODE));
        engines.add(Endpoints.engine("b-2", "b", EngineRole.DECODE));
        List<FleetPlan.RoleChange> changes = mPlan.decide(mService, engines, new Work(4, 1), NOW);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).engine().failureDomain()).isEqualTo("b");
    }

    @Test
    void aQuarterOfManyEnginesRunsWhateverTheWork() {
        List<FleetPlan.RoleChange> changes =
                mPlan.decide(mService, engines(8, 8), new Work(20, 10), NOW);
        assertThat(changes).hasSize(4);
    }

    @Test
    void theYoungestEngineChangesSinceItHasTheLeastToFinish() {
        List<Endpoint> engines = new ArrayList<>();
        engines.add(Endpoints.engine("z-old", "a", EngineRole.DECODE));
        engines.add(Endpoints.bornAt(Endpoints.engine("a-young", "a", EngineRole.DECODE), 9_000));
        engines.add(Endpoints.engine("b", "b", EngineRole.DECODE));
        List<FleetPlan.RoleChange> changes = mPlan.decide(mService, engines, new Work(4, 1), NOW);
        assertThat(changes.get(0).engine().name()).isEqualTo("a-young");
    }

    @Test
    void aBurstOfRunningRequestsCountsAtOnceAndFadesByHalf() {
        Work risen = new Work(2, 50).followedBy(new Work(1, 180));
        assertThat(risen).isEqualTo(new Work(1.5, 180));
        assertThat(risen.followedBy(Work.NONE)).isEqualTo(new Work(0.75, 90));
    }

    @Test
    void noEngineStopsRunningWhileRunningRequestsRise() {
        mPlan.decide(mService, engines(4, 2), new Work(4, 20), NOW);
        assertThat(mPlan.decide(mService, engines(4, 5), new Work(4, 60), NOW + 2_000)).isEmpty();
        assertThat(mPlan.decide(mService, engines(4, 5), new Work(4, 60), NOW + 9_000)).hasSize(3);
    }

    @Test
    void noEngineStopsRunningWhileOthersAreStillOnTheirWayToRun() {
        List<FleetPlan.RoleChange> changes =
                mPlan.decide(mService, engines(6, 2), new Work(4, 120), NOW);
        changes.forEach(change -> mPlan.ordered(change, NOW + 7_000));
        assertThat(mPlan.decide(mService, engines(4, 6), new Work(4, 100), NOW + 9_000)).isEmpty();
    }

    private static List<Endpoint> engines(int readers, int runners) {
        List<Endpoint> engines = new ArrayList<>();
        for (int index = 0; index < readers; index++) {
            engines.add(Endpoints.engine("reader-" + index, "a", EngineRole.PREFILL));
        }
        for (int index = 0; index < runners; index++) {
            String domain = index % 2 == 0 ? "a" : "b";
            engines.add(Endpoints.engine("runner-" + index, domain, EngineRole.DECODE));
        }
        return engines;
    }
}
