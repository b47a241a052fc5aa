package org.vanilladoor.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.configuration.WorkKind;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/** Tests the rules for assigning and refusing calls. */
class DispatchCoreTests {
    private static final WorkClass CHAT =
            new WorkClass("chat", WorkKind.INTERACTIVE, 800, 60, 30_000, false, 0.95);
    private static final WorkClass READING =
            new WorkClass("reading", WorkKind.READING, 8_000, 0, 60_000, true, 0.95);
    private final DispatchCore mCore =
            DispatchCore.create("muscat-1", Policies.standard(), new SplittableRandom(1));
    private int mLastCallNumber;

    private static EndpointDescription engine(String name, String domain, boolean reclaimable) {
        return new EndpointDescription(
                name, "model", true, domain, "127.0.0.1:1", reclaimable, true, false, 4);
    }

    private static LoadReport report(int maximumStreams, boolean leaving) {
        return new LoadReport(EngineRole.MIXED, false, 0, 0, maximumStreams, "", leaving);
    }

    private Call call(String team, WorkClass workClass, boolean isRetry, long arrivalMillis) {
        mLastCallNumber++;
        return new Call(
                "call-" + mLastCallNumber,
                team,
                workClass,
                "model",
                400,
                20,
                List.of(),
                isRetry,
                arrivalMillis);
    }

    private List<Decision> submit(Call call, long nowMillis) {
        mCore.submit(call);
        return mCore.decide(nowMillis);
    }

    @Nested
    class AnEndpoint {
        @Test
        void thatIsLeavingIsAssignedNoCall() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.recordLoad("a", report(8, true), 0);
            assertThat(submit(call("t", CHAT, false, 0), 0)).isEmpty();
        }

        @Test
        void thatIsDrainedIsAssignedNoCallUntilTheDrainEnds() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.setDrained("a", true);
            assertThat(submit(call("t", CHAT, false, 0), 0)).isEmpty();
            mCore.setDrained("a", false);
            assertThat(mCore.decide(1)).hasSize(1);
        }

        @Test
        void thatIsNoLongerListedKeepsItsCallsAndIsAssignedNoFurtherOnes() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            submit(call("t", CHAT, false, 0), 0);
            mCore.setEndpoints(List.of());
            assertThat(mCore.ownRequests("a")).isEqualTo(1);
            assertThat(submit(call("t", CHAT, false, 0), 0)).isEmpty();
        }

        @Test
        void inTheSameFailureDomainIsPreferred() {
            mCore.setEndpoints(
                    List.of(engine("a", "muscat-2", false), engine("b", "muscat-1", false)));
            Decision.Assigned assigned =
                    (Decision.Assigned) submit(call("t", CHAT, false, 0), 0).get(0);
            assertThat(assigned.endpoint()).isEqualTo("b");
        }

        @Test
        void thatIsReclaimableIsAssignedOnlyReclaimableWork() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", true)));
            assertThat(submit(call("t", CHAT, false, 0), 0)).isEmpty();
            assertThat(submit(call("t", READING, false, 0), 0)).hasSize(1);
        }

        @Test
        void thatFailedRepeatedlyIsAvoidedTemporarily() {
            mCore.setEndpoints(
                    List.of(engine("a", "muscat-1", false), engine("b", "muscat-1", false)));
            for (int i = 0; i < 8; i++) {
                Decision.Assigned assigned =
                        (Decision.Assigned) submit(call("t", CHAT, false, 0), i).get(0);
                Outcome outcome =
                        assigned.endpoint().equals("a") ? Outcome.FAILED : Outcome.COMPLETED;
                mCore.recordEnd(assigned.call().identifier(), outcome, 20, i);
            }
            Decision.Assigned afterFailures =
                    (Decision.Assigned) submit(call("t", CHAT, false, 0), 10).get(0);
            assertThat(afterFailures.endpoint()).isEqualTo("b");
        }
    }

    @Nested
    class ALoadReport {
        private static final int CALLS = 60;

        private long callsAssignedToEngineReportedIdle(long ageMillis) {
            mCore.setEndpoints(
                    List.of(engine("idle", "muscat-1", false), engine("busy", "muscat-1", false)));
            mCore.recordLoad("idle", load(0), ageMillis);
            mCore.recordLoad("busy", load(40), ageMillis);
            for (int i = 0; i < CALLS; i++) {
                submit(call("t", CHAT, false, 0), 0);
            }
            return mCore.ownRequests("idle");
        }

        private LoadReport load(int requests) {
            return new LoadReport(
                    EngineRole.MIXED, false, requests, requests * 100L, 1_000, "", false);
        }

        @Test
        void thatIsCurrentDirectsCallsToTheIdleEngine() {
            assertThat(callsAssignedToEngineReportedIdle(0)).isAtLeast(CALLS * 3 / 4);
        }

        @Test
        void thatIsOutdatedLeavesCallsSpreadOverAllEngines() {
            assertThat(callsAssignedToEngineReportedIdle(10_000)).isAtMost(CALLS * 6 / 10);
        }
    }

    @Nested
    class ACall {
        @Test
        void waitsForAFreeStreamAndIsThenAssigned() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.recordLoad("a", report(1, false), 0);
            Call first = call("t", CHAT, false, 0);
            submit(first, 0);
            assertThat(submit(call("t", CHAT, false, 1), 1)).isEmpty();
            mCore.recordEnd(first.identifier(), Outcome.COMPLETED, 20, 100);
            assertThat(mCore.decide(100)).hasSize(1);
        }

        @Test
        void whoseDeadlineIsNotReachableIsRefusedWithoutBeingAssigned() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.setDrained("a", true);
            submit(call("t", CHAT, false, 0), 0);
            List<Decision> decisions = mCore.decide(30_000);
            assertThat(((Decision.Refused) decisions.get(0)).kind())
                    .isEqualTo(Decision.RefusalKind.DEADLINE_NOT_REACHABLE);
            assertThat(mCore.ownRequests("a")).isEqualTo(0);
        }

        @Test
        void forAPoolWithoutEndpointsIsRefusedAtItsFirstTokenDeadline() {
            assertThat(submit(call("t", CHAT, false, 0), 0)).isEmpty();
            List<Decision> decisions = mCore.decide(800);
            assertThat(((Decision.Refused) decisions.get(0)).kind())
                    .isEqualTo(Decision.RefusalKind.NO_ENDPOINT);
        }
    }

    @Nested
    class Retries {
        @Test
        void areLimitedToTheBudgetWhileFirstAttemptsWait() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.recordLoad("a", report(1, false), 0);
            submit(call("t", CHAT, false, 0), 0);
            int refused = 0;
            for (int i = 0; i < 100; i++) {
                for (Decision decision : submit(call("t", CHAT, true, i), i)) {
                    refused += decision instanceof Decision.Refused ? 1 : 0;
                }
                assertThat(submit(call("t", CHAT, false, i), i)).isEmpty();
            }
            assertThat(refused).isAtLeast(80);
        }

        @Test
        void areAssignedBeyondTheBudgetWhileThereIsSpareCapacity() {
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.recordLoad("a", report(1_000, false), 0);
            for (int i = 0; i < 100; i++) {
                assertThat(submit(call("t", CHAT, true, i), i).get(0))
                        .isInstanceOf(Decision.Assigned.class);
            }
        }
    }

    @Nested
    class Teams {
        @Test
        void areServedInProportionToTheirSharesWhileAllHaveWaitingCalls() {
            mCore.setTargets(
                    Targets.of(
                            List.of(CHAT),
                            List.of(
                                    new Team("large", 3, List.of("chat"), true),
                                    new Team("small", 1, List.of("chat"), true)),
                            List.of(),
                            List.of(),
                            Targets.Limits.standard()));
            mCore.setEndpoints(List.of(engine("a", "muscat-1", false)));
            mCore.recordLoad("a", report(1, false), 0);
            for (int i = 0; i < 100; i++) {
                mCore.submit(call("large", CHAT, false, 0));
                mCore.submit(call("small", CHAT, false, 0));
            }
            List<String> servedTeams = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                Decision.Assigned assigned = (Decision.Assigned) mCore.decide(0).get(0);
                servedTeams.add(assigned.call().team());
                mCore.recordEnd(assigned.call().identifier(), Outcome.COMPLETED, 20, 0);
            }
            assertThat(servedTeams.stream().filter("large"::equals).count()).isEqualTo(60);
        }
    }
}
