package org.vanilladoor.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.configuration.WorkKind;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * Submits random calls, load reports, drains and endpoint lists, and checks the invariants of all
 * decisions.
 */
class DispatchFuzzTests {
    private static final int MAXIMUM_ACTION_NUMBER = 1_000_000;

    @Property(tries = 1500, seed = "4501")
    void eachCallGetsExactlyOneDecisionAndUnusableEndpointsAreNotAssignedCalls(
            @ForAll @Size(min = 30, max = 200)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION_NUMBER) Integer> actionNumbers) {
        Simulation simulation = new Simulation();
        actionNumbers.forEach(simulation::perform);
        simulation.finishAll();
    }

    /** A dispatch core with a simple model of the endpoints to which it may assign calls. */
    private static final class Simulation {
        private static final int ENDPOINTS = 4;
        private final DispatchCore mCore =
                DispatchCore.create("d0", Policies.standard(), new SplittableRandom(1));
        private final Set<String> mListed = new HashSet<>();
        private final Set<String> mDrained = new HashSet<>();
        private final Set<String> mLeaving = new HashSet<>();
        private final Map<String, Call> mUndecided = new HashMap<>();
        private final List<Decision.Assigned> mRunning = new ArrayList<>();
        private long mNowMillis;
        private int mNextCallNumber;

        /** Performs an action; its number encodes the kind (mod 16), the endpoint and a detail. */
        void perform(int actionNumber) {
            String endpoint = "endpoint-" + actionNumber / 16 % ENDPOINTS;
            int detail = actionNumber / 64;
            switch (actionNumber % 16) {
                case 0, 1, 2, 3, 4 -> submit(detail);
                case 5 -> updateList(endpoint, detail % 4 != 0);
                case 6 -> drain(endpoint, detail % 2 == 0);
                case 7, 8 -> report(endpoint, detail);
                case 9, 10, 11 -> endOneCall(detail);
                case 12 -> mNowMillis += detail % 3_000;
                default -> mNowMillis += detail % 50;
            }
            decideAndCheck();
        }

        void finishAll() {
            mNowMillis += 1_000_000;
            decideAndCheck();
            assertWithMessage("calls without a decision").that(mUndecided.keySet()).isEmpty();
        }

        private void submit(int detail) {
            WorkClass workClass =
                    new WorkClass(
                            "class", WorkKind.INTERACTIVE, 500, 0, 5_000, detail % 2 == 0, 0.9);
            Call call =
                    new Call(
                            "call-" + mNextCallNumber++,
                            "team-" + detail % 3,
                            workClass,
                            "pool",
                            detail % 4_000,
                            10,
                            List.of(),
                            detail % 5 == 0,
                            mNowMillis);
            mUndecided.put(call.identifier(), call);
            mCore.submit(call);
        }

        private void updateList(String endpoint, boolean present) {
            if (present) {
                mListed.add(endpoint);
            } else {
                mListed.remove(endpoint);
            }
            mCore.setEndpoints(
                    mListed.stream()
                            .map(
                                    name ->
                                            new EndpointDescription(
                                                    name,
                                                    "pool",
                                                    true,
                                                    "d0",
                                                    "127.0.0.1:1",
                                                    name.endsWith("3"),
                                                    true,
                                                    false,
                                                    1))
                            .toList());
            Set<String> known = new HashSet<>();
            mCore.endpoints().forEach(view -> known.add(view.description().name()));
            // An endpoint that is no longer listed but still has calls remains known and leaving.
            // One without calls is removed, and is a new endpoint when it is listed again.
            mLeaving.removeIf(name -> !known.contains(name));
            mDrained.removeIf(name -> !known.contains(name));
            known.stream().filter(name -> !mListed.contains(name)).forEach(mLeaving::add);
        }

        private void drain(String endpoint, boolean drained) {
            mCore.setDrained(endpoint, drained);
            if (mCore.endpoint(endpoint).isEmpty()) {
                return;
            }
            if (drained) {
                mDrained.add(endpoint);
            } else {
                mDrained.remove(endpoint);
            }
        }

        private void report(String endpoint, int detail) {
            boolean leaving = detail % 7 == 0;
            mCore.recordLoad(
                    endpoint,
                    new LoadReport(
                            EngineRole.values()[detail % 3],
                            false,
                            detail % 9,
                            detail % 5_000,
                            1 + detail % 8,
                            "",
                            leaving),
                    detail % 3_000);
            if (leaving && mCore.endpoint(endpoint).isPresent()) {
                mLeaving.add(endpoint);
            }
        }

        private void endOneCall(int detail) {
            if (!mRunning.isEmpty()) {
                Decision.Assigned assigned = mRunning.remove(detail % mRunning.size());
                mCore.recordEnd(
                        assigned.call().identifier(),
                        Outcome.values()[detail % Outcome.values().length],
                        10,
                        mNowMillis);
            }
        }

        private void decideAndCheck() {
            for (Decision decision : mCore.decide(mNowMillis)) {
                Call call = mUndecided.remove(decision.call().identifier());
                assertWithMessage("call with a second decision").that(call).isNotNull();
                if (decision instanceof Decision.Assigned assigned) {
                    mRunning.add(assigned);
                    assertMayBeAssigned(call, assigned.endpoint());
                    assertMayBeAssigned(call, assigned.prefillEndpoint());
                }
            }
            for (EndpointView view : mCore.endpoints()) {
                long expectedOwnRequests =
                        mRunning.stream()
                                .filter(
                                        assigned ->
                                                assigned.endpoint()
                                                                .equals(view.description().name())
                                                        || assigned.prefillEndpoint()
                                                                .equals(view.description().name()))
                                .count();
                assertThat((long) view.ownRequests()).isEqualTo(expectedOwnRequests);
            }
        }

        private void assertMayBeAssigned(Call call, String endpoint) {
            assertThat(mListed).contains(endpoint);
            assertThat(mDrained).doesNotContain(endpoint);
            assertThat(mLeaving).doesNotContain(endpoint);
            if (endpoint.endsWith("3")) {
                assertThat(call.workClass().reclaimable()).isTrue();
            }
        }
    }
}
