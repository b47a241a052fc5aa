package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;

/** Which endpoint gets a call. */
class PlacementTests {
    private static final long NOW = 50_000;
    private final EndpointDirectory mDirectory = EndpointDirectory.create();
    private final Placement mPlacement = Placement.create(mDirectory, "a", new SplittableRandom(7));

    @Test
    void promptsWithTheSameSharedStartAreReadByTheSameEngineFromEveryMachine() {
        addReaders(5);
        Placement other = Placement.create(mDirectory, "b", new SplittableRandom(8));
        for (int subject = 0; subject < 50; subject++) {
            assertThat(reader(mPlacement, "subject-" + subject))
                    .isEqualTo(reader(other, "subject-" + subject));
        }
    }

    @Test
    void subjectsSpreadOverAllReaders() {
        addReaders(4);
        Set<String> used = new HashSet<>();
        for (int subject = 0; subject < 100; subject++) {
            used.add(reader(mPlacement, "subject-" + subject).orElseThrow().name());
        }
        assertThat(used).hasSize(4);
    }

    @Test
    void aReaderTakesABoundedNumberOfPromptsAndTheNextOneHelps() {
        addReaders(2);
        Endpoint home = reader(mPlacement, "subject").orElseThrow();
        mPlacement.recordStart(home);
        mPlacement.recordStart(home);
        Endpoint next = reader(mPlacement, "subject").orElseThrow();
        assertThat(next).isNotEqualTo(home);
        mPlacement.recordStart(next);
        assertThat(reader(mPlacement, "subject")).isEmpty();
        mPlacement.recordEnd(home);
        assertThat(reader(mPlacement, "subject")).hasValue(home);
    }

    @Test
    void anEndpointThatLeavesOrChangesItsRoleGetsNothing() {
        Endpoint stays = Endpoints.engine("stays", "b", EngineRole.DECODE);
        mDirectory.put(Endpoints.leaving(Endpoints.engine("leaves", "a", EngineRole.DECODE)));
        mDirectory.put(
                Endpoints.changing(
                        Endpoints.engine("changes", "a", EngineRole.PREFILL), EngineRole.DECODE));
        mDirectory.put(stays);
        for (int draw = 0; draw < 20; draw++) {
            assertThat(runner(Set.of())).hasValue(stays);
        }
    }

    @Test
    void theLeastLoadedNearEndpointRuns() {
        Endpoint near = Endpoints.engine("near", "a", EngineRole.DECODE);
        Endpoint far = Endpoints.engine("far", "b", EngineRole.DECODE);
        mDirectory.put(near);
        mDirectory.put(far);
        assertThat(runner(Set.of())).hasValue(near);
        mPlacement.recordLoad(near, new LoadSample(40, 10, 64), NOW);
        assertThat(runner(Set.of())).hasValue(far);
    }

    @Test
    void anUnreachableEndpointIsPassedOverUntilItIsTheOnlyOne() {
        Endpoint near = Endpoints.engine("near", "a", EngineRole.DECODE);
        Endpoint far = Endpoints.engine("far", "b", EngineRole.DECODE);
        mDirectory.put(near);
        mDirectory.put(far);
        mPlacement.recordUnreachable(near, NOW);
        assertThat(runner(Set.of())).hasValue(far);
        assertThat(runner(Set.of("far"))).hasValue(near);
        assertThat(runner(Set.of("far", "near"))).isEmpty();
    }

    private Optional<Endpoint> runner(Set<String> excluded) {
        return mPlacement.chooseEndpoint(Endpoints.SERVICE, Optional.empty(), excluded, NOW);
    }

    private static Optional<Endpoint> reader(Placement placement, String affinity) {
        return placement.choosePrefillEngine(Endpoints.SERVICE, affinity, Set.of(), NOW);
    }

    private void addReaders(int count) {
        for (int index = 0; index < count; index++) {
            mDirectory.put(Endpoints.engine("reader-" + index, "a", EngineRole.PREFILL));
        }
    }
}
