package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that notices a leaving endpoint too late, and against a load of the store
 * that grows with every VM.
 */
class EndpointPollIntervalTests {
    @Test
    void aSmallFleetNoticesAChangeWithinHalfASecond() {
        assertThat(EndpointPollInterval.create(2_000, () -> 13).millis()).isEqualTo(500);
    }

    @Test
    void aLargeFleetLeavesMoreThanHalfOfTheNoticeForTheResponse() {
        assertThat(EndpointPollInterval.create(2_000, () -> 10_000).millis()).isEqualTo(800);
        assertThat(EndpointPollInterval.create(4_000, () -> 10_000).millis()).isEqualTo(1_600);
    }

    @Test
    void allVmsTogetherPollNoMoreOftenWhenThereAreMoreOfThem() {
        double pollsOfFifty = 50.0 / EndpointPollInterval.create(4_000, () -> 50).millis();
        double pollsOfHundred = 100.0 / EndpointPollInterval.create(4_000, () -> 100).millis();
        assertThat(pollsOfHundred).isAtMost(pollsOfFifty);
    }

    @Test
    void anUnknownNumberOfVmsDoesNotExceedTheMaximum() {
        assertThat(EndpointPollInterval.create(4_000, () -> Integer.MAX_VALUE).millis())
                .isAtMost(1_600);
    }
}
