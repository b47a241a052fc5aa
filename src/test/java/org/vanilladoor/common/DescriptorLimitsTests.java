package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against limits that together exceed the descriptors of a process. */
class DescriptorLimitsTests {
    @Test
    void theSmallestVmKeepsRoomForFilesOperatorsEndpointsAndThePlatform() {
        DescriptorLimits limits = DescriptorLimits.forDescriptors(2_069);
        assertThat(limits).isEqualTo(new DescriptorLimits(734, 1_102));
        assertThat(
                        limits.callerConnections()
                                + limits.ownConnections()
                                + DescriptorLimits.OPERATOR_CONNECTIONS
                                + 200)
                .isAtMost(2_069);
    }

    @Test
    void theCallersOfAVmWithManyDescriptorsFitIntoAQuarterOfItsHeap() {
        DescriptorLimits limits = DescriptorLimits.forDescriptors(10_250);
        assertThat(limits.callerConnections()).isEqualTo(4_000);
        assertThat(limits.withinHeap(160 * 1_048_576L).callerConnections()).isEqualTo(1_706);
    }

    @Test
    void eachCallerCanHaveAConnectionToAnEndpoint() {
        for (int descriptors = 300; descriptors < 20_000; descriptors += 100) {
            DescriptorLimits limits = DescriptorLimits.forDescriptors(descriptors);
            assertThat(limits.ownConnections()).isAtLeast(limits.callerConnections());
        }
    }
}
