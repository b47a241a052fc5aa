package org.vanilladoor.key;

import static com.google.common.truth.Truth.assertThat;

import java.security.SecureRandom;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which keys work. */
class KeyRingTests {
    private final IssuedKey mIssued = IssuedKey.create("harbour", new SecureRandom());

    @Test
    void anIssuedKeyWorksForItsTeam() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record()));
        assertThat(ring.authenticate(mIssued.key()).orElseThrow().team()).isEqualTo("harbour");
    }

    @Test
    void aWithdrawnKeyDoesNotWork() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record().asWithdrawn()));
        assertThat(ring.authenticate(mIssued.key())).isEmpty();
        assertThat(ring.isValid(mIssued.record().identifier())).isFalse();
    }

    @Test
    void aKeyWithAnotherSecretDoesNotWork() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record()));
        assertThat(ring.authenticate("vd_" + mIssued.record().identifier() + "_00")).isEmpty();
        assertThat(ring.authenticate("")).isEmpty();
        assertThat(ring.authenticate("__")).isEmpty();
    }

    @Test
    void whatIsKeptIsNotTheKey() {
        String secret = mIssued.key().substring(mIssued.key().lastIndexOf('_') + 1);
        assertThat(mIssued.record().toString()).doesNotContain(secret);
    }
}
