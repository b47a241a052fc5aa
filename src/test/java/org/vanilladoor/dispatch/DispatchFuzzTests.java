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

/** Random calls, reports, drains and lists against what may be decided. */
class DispatchFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 1500, seed = "4501")
    void everyCallGetsOneDecisionAndClosedEndpointsGetNothing(
            @ForAll @Size(min = 30, max = 200)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World();
        script.forEach(world::act);
        world.end();
    }

    /** A core with what a simple reading of the rules allows. */
    private static final class World {
        private static final int ENDPOINTS = 4;
        private final DispatchCore mCore =
                DispatchCore.create("d0", Policies.standard(), new SplittableRandom(1));
        private final Set<String> mListed = new HashSet<>();
        private final Set<String> mDrained = new HashSet<>();
        private final Set<String> mLeaving = new HashSet<>();
        private final Map<String, Call> mUndecided = new HashMap<>();
        private final List<Decision.Assigned> mRunning = new ArrayList<>();
        private long mNow;
        private int mNumber;

        void act(int number) {
            String endpoint = "endpoint-" + number / 16 % ENDPOINTS;
            int detail = number / 64;
            switch (number % 16) {
                case 0, 1, 2, 3, 4 -> submit(detail);
                case 5 -> list(endpoint, detail % 4 != 0);
                case 6 -> drain(endpoint, detail % 2 == 0);
                case 7, 8 -> report(endpoint, detail);
                case 9, 10, 11 -> finish(detail);
                case 12 -> mNow += detail % 3_000;
                default -> mNow += detail % 50;
            }
            decide();
        }

        void end() {
            mNow += 1_000_000;
            decide();
            assertWithMessage("undecided calls").that(mUndecided.keySet()).isEmpty();
        }

        private void submit(int detail) {
            WorkClass workClass =
                    new WorkClass(
                            "class", WorkKind.INTERACTIVE, 500, 0, 5_000, detail % 2 == 0, 0.9);
            Call call =
                    new Call(
                            "call-" + mNumber++,
                            "team-" + detail % 3,
                            workClass,
                            "pool",
                            detail % 4_000,
                            10,
                            List.of(),
                            detail % 5 == 0,
                            mNow);
            mUndecided.put(call.identifier(), call);
            mCore.submit(call);
        }

        private void list(String endpoint, boolean present) {
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
            // An endpoint that went away with calls still there stays closed; one that went away
            // whole comes back as a new one.
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

        private void finish(int detail) {
            if (!mRunning.isEmpty()) {
                Decision.Assigned assigned = mRunning.remove(detail % mRunning.size());
                mCore.recordEnd(
                        assigned.call().identifier(),
                        Outcome.values()[detail % Outcome.values().length],
                        10,
                        mNow);
            }
        }

        private void decide() {
            for (Decision decision : mCore.decide(mNow)) {
                Call call = mUndecided.remove(decision.call().identifier());
                assertWithMessage("a call was decided twice").that(call).isNotNull();
                if (decision instanceof Decision.Assigned assigned) {
                    mRunning.add(assigned);
                    assertMayRun(call, assigned.endpoint());
                    assertMayRun(call, assigned.prefillEndpoint());
                }
            }
            for (EndpointView view : mCore.endpoints()) {
                long own =
                        mRunning.stream()
                                .filter(
                                        each ->
                                                each.endpoint().equals(view.description().name())
                                                        || each.prefillEndpoint()
                                                                .equals(view.description().name()))
                                .count();
                assertThat((long) view.ownRequests()).isEqualTo(own);
            }
        }

        private void assertMayRun(Call call, String endpoint) {
            assertThat(mListed).contains(endpoint);
            assertThat(mDrained).doesNotContain(endpoint);
            assertThat(mLeaving).doesNotContain(endpoint);
            if (endpoint.endsWith("3")) {
                assertThat(call.workClass().reclaimable()).isTrue();
            }
        }
    }
}
