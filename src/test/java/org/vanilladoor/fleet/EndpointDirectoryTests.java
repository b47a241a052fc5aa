package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;

/** What becomes of endpoints whose entries come, change and go. */
class EndpointDirectoryTests {
    private static final long NOW = 100_000;
    private final EndpointDirectory mDirectory = EndpointDirectory.create();
    private final Endpoint mFirst = Endpoints.engine("first", "a", EngineRole.DECODE);
    private final Endpoint mSecond = Endpoints.engine("second", "b", EngineRole.DECODE);

    @Test
    void anEntryRemovedInCalmTimesIsGoneAtOnce() {
        mDirectory.replaceAll(List.of(mFirst, mSecond), NOW);
        mDirectory.remove("first", NOW);
        assertThat(mDirectory.all()).containsExactly(mSecond);
    }

    @Test
    void anEntryThatLapsedInAnOutageMayComeBack() {
        mDirectory.replaceAll(List.of(mFirst, mSecond), NOW);
        mDirectory.markStoreUnavailable();
        mDirectory.markStoreAvailable(NOW + 5_000);
        mDirectory.replaceAll(List.of(mSecond), NOW + 5_000);
        mDirectory.removeMissing(NOW + 6_000);
        assertThat(mDirectory.all()).containsExactly(mFirst, mSecond);
        mDirectory.put(mFirst);
        mDirectory.removeMissing(NOW + 8_000);
        assertThat(mDirectory.all()).containsExactly(mFirst, mSecond);
    }

    @Test
    void anEntryStillMissingTwoSecondsAfterAnOutageIsGone() {
        mDirectory.replaceAll(List.of(mFirst, mSecond), NOW);
        mDirectory.markStoreUnavailable();
        mDirectory.markStoreAvailable(NOW + 5_000);
        mDirectory.remove("first", NOW + 5_100);
        mDirectory.removeMissing(NOW + 7_000);
        assertThat(mDirectory.all()).containsExactly(mSecond);
    }

    @Test
    void nothingIsForgottenWhileTheStoreIsAway() {
        mDirectory.replaceAll(List.of(mFirst), NOW);
        mDirectory.markStoreUnavailable();
        mDirectory.remove("first", NOW);
        mDirectory.removeMissing(NOW + 60_000);
        assertThat(mDirectory.all()).containsExactly(mFirst);
    }
}
