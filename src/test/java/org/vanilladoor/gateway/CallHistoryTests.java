package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.transport.ConnectionUse;

/** Which calls need a connection of their own. */
class CallHistoryTests {
    private static final HostPort ADDRESS = new HostPort("10.0.0.1", 80);
    private static final HostPort OTHER_ADDRESS = new HostPort("10.0.0.1", 81);
    private static final int MORE_THAN_REMEMBERED = 20_000;
    private final CallHistory mHistory = CallHistory.create();

    @Test
    void onlyACallWithTheIdentifierAndAddressOfAnEarlierOneNeedsANewConnection() {
        assertThat(mHistory.record("a", ADDRESS)).isEqualTo(ConnectionUse.ANY);
        assertThat(mHistory.record("a", OTHER_ADDRESS)).isEqualTo(ConnectionUse.ANY);
        assertThat(mHistory.record("b", ADDRESS)).isEqualTo(ConnectionUse.ANY);
        assertThat(mHistory.record("a", ADDRESS)).isEqualTo(ConnectionUse.NEW);
        assertThat(mHistory.record("a", ADDRESS)).isEqualTo(ConnectionUse.NEW);
    }

    @Test
    void aRepeatedCallIsRememberedFromItsLastOccurrence() {
        mHistory.record("a", ADDRESS);
        for (int number = 0; number < MORE_THAN_REMEMBERED; number++) {
            mHistory.record("other-" + number, ADDRESS);
            if (number % 1_000 == 0) {
                assertThat(mHistory.record("a", ADDRESS)).isEqualTo(ConnectionUse.NEW);
            }
        }
    }

    @Test
    void aCallIsForgottenAfterManyOthers() {
        mHistory.record("a", ADDRESS);
        for (int number = 0; number < MORE_THAN_REMEMBERED; number++) {
            mHistory.record("other-" + number, ADDRESS);
        }
        assertThat(mHistory.record("a", ADDRESS)).isEqualTo(ConnectionUse.ANY);
    }
}
