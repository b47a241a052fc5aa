package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;

/** The stored form of the roster, which processes of other versions read. */
class RosterTests {
    private static final Roster ROSTER = new Roster(7, 3, List.of("members/a.1"));

    /** A deployment without allowances must write the same object as before. */
    @Test
    void aRosterWithoutAnAddressIsStoredAsBefore() {
        assertThat(new String(Json.write(ROSTER), StandardCharsets.UTF_8))
                .isEqualTo("{\"beat\":7,\"living\":3,\"candidates\":[\"members/a.1\"]}");
        assertThat(Json.read(Json.write(ROSTER), Roster.class)).isEqualTo(ROSTER);
    }

    @Test
    void theAddressOfTheHolderIsStoredAndRead() {
        HostPort address = new HostPort("10.0.0.1", 20_001);
        Roster read =
                Json.read(Json.write(ROSTER.withExchange(Optional.of(address))), Roster.class);
        assertThat(read.exchangeAddress()).isEqualTo(Optional.of(address));
    }

    @Test
    void anOddAddressIsNoAddress() {
        for (String odd : List.of("", "x", ":1", "a:b", "h:99999")) {
            assertThat(new Roster(1, 1, List.of(), odd).exchangeAddress())
                    .isEqualTo(Optional.empty());
        }
    }
}
